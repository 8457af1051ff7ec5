/**
 * An HTTP gateway for model services, whose targets form chains of layer ranges and forward requests along them
 * themselves, and for plain services.
 *
 * @packageDocumentation
 */
export { findHeadFault } from "@waxwingspar/connections";
export {
    type EngineControl,
    type EngineReport,
    type LayerOrder,
    type OrderResult,
} from "./lib/chains/EngineControl.js";
export {
    type Accelerator,
    type CallerLimits,
    type Configuration,
    configurationSchema,
    type Engine,
    type Organisation,
    type Route,
    type Service,
} from "./lib/configuration/Configuration.js";
export { type LayerRange, type Target, targetSchema } from "./lib/directory/Target.js";
export { type DecodedTarget } from "./lib/directory/TargetList.js";
export { Gateway } from "./lib/Gateway.js";
export { type GatewayOptions, type PlatformTables } from "./lib/GatewayOptions.js";
export { type Address, type GatewaySettings } from "./lib/GatewaySettings.js";
export { listMechanisms, type Mechanism, type MechanismSwitch, parseDisabledMechanisms } from "./lib/Mechanisms.js";
export { LogDestination, type LogDestinationOptions } from "./lib/observation/LogDestination.js";
export { GatewayMetrics, type Logs } from "./lib/observation/Observation.js";
export {
    type CallerRequest,
    type Dispatch,
    type Hop,
    type ReplyHead,
    type StatedLimit,
    type StatedRest,
    type TokenCount,
    type WireFormat,
} from "./lib/requests/messages.js";
export { MetricsServer, type MetricsServerOptions } from "./lib/server/MetricsServer.js";
export { ReplyLimit, type ReplyLimitOptions } from "./lib/store/ReplyLimit.js";
export {
    type ConditionalWrite,
    type ReadOptions,
    type ReplyProgress,
    replyStall,
    type RowChange,
    type Store,
    type StoredRow,
    type StoreFailure,
    type TableChanges,
    type TableSnapshot,
    watchSlack,
    type WriteResult,
} from "./lib/store/Store.js";
