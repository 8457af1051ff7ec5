import { type MetricRegistry } from "@waxwingspar/telemetry";
import { type Clock, type Random } from "@waxwingspar/utils";
import { type Server } from "node:net";
import { type EngineControl } from "./chains/EngineControl.js";
import { type Configuration } from "./configuration/Configuration.js";
import { type DecodedTarget } from "./directory/TargetList.js";
import { type GatewaySettings } from "./GatewaySettings.js";
import { type MechanismSwitch } from "./Mechanisms.js";
import { type Logs } from "./observation/Observation.js";
import { type WireFormat } from "./requests/messages.js";
import { type Store } from "./store/Store.js";

/** The store's tables and keys that the gateway reads, and the decoders for their documents. */
export interface PlatformTables {
    readonly configurationTable: string;
    readonly configurationKey: string;
    readonly targetTable: string;
    /**
     * Decodes a configuration step by step.
     *
     * @throws Error when the document is not a valid configuration.
     */
    decodeConfiguration(document: unknown): Iterator<undefined, Configuration, undefined>;
    /** Never throws, since the table may hold any document. */
    decodeTarget(id: string, document: unknown): DecodedTarget;
}

/** Options of {@link Gateway}. */
export interface GatewayOptions {
    readonly settings: GatewaySettings;
    readonly clock: Clock;
    readonly random: Random;
    /** A unique id of this start of the process. */
    readonly incarnation: string;
    readonly store: Store;
    readonly tables: PlatformTables;
    readonly wire: WireFormat;
    readonly engines: EngineControl;
    readonly logs: Logs;
    readonly registry: MetricRegistry;
    /** A server that already listens for callers; its connections wait until the gateway takes it over. */
    readonly callerListener?: Server;
    /** Which mechanisms are on; all by default. */
    readonly isOn?: MechanismSwitch;
    /** Called once if a part that the gateway needs is lost for good while it runs; it is to be stopped then. */
    readonly onLost?: (error: Error) => void;
    /** Weight of an organisation among those of its rank, when slots of heads are scarce; 1 by default. */
    readonly organisationWeight?: (organisation: string) => number;
    /** Milliseconds from the stop request until the load balancer is sure to have removed this process. */
    readonly balancerDelay?: number;
}
