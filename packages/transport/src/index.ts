/**
 * Authenticated TCP links between processes: framed messages and JSON-RPC.
 *
 * @packageDocumentation
 */
export { type Link, type RpcMethod } from "./lib/Link.js";
export { type Address, type LinkPool } from "./lib/LinkPool.js";
export {
    type Hello,
    helloSchema,
    type LoadReport,
    loadReportSchema,
    type WireFailure,
    wireFailureSchema,
} from "./lib/messages/common.js";
export { type Message, messageSchema } from "./lib/messages/Message.js";
export {
    type DoneMessage,
    type Exporter,
    exporterSchema,
    type FailedMessage,
    type FrameMessage,
    type JoinMessage,
    type OpenMessage,
    type Sampling,
    samplingSchema,
    type Stage,
    stageSchema,
    type TokensMessage,
} from "./lib/messages/pipelineMessages.js";
export { type CallMessage } from "./lib/messages/serviceMessages.js";
