import { type Tracer } from "@opentelemetry/api";
import { type Configuration } from "@waxwingspar/config";
import { type Engine } from "@waxwingspar/engine";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type WorkQueue } from "@waxwingspar/policy";
import { type LinkPool } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type AgentSettings } from "./AgentSettings.js";
import { type AttemptTable, type TableAttempt } from "./AttemptTable.js";
import { type HeldModels } from "./HeldModels.js";
import { type SessionTable } from "./kv/SessionTable.js";
import { type LinkWatch } from "./LinkWatch.js";
import { type CacheWatch } from "./load/CacheWatch.js";
import { type LoadMeter } from "./load/LoadMeter.js";
import { type EngineActivity } from "./stage/EngineActivity.js";

/**
 * Figures that an agent gives away for metrics, each when it is known. All times are in milliseconds.
 *
 * @public
 */
export interface AgentMetrics {
    /** From the start of a request to its first token. */
    readonly firstToken?: (duration: number) => void;
    /** Between two tokens of one stream. */
    readonly tokenInterval?: (duration: number) => void;
    /** A message that came late, twice or from an old attempt, and was dropped. */
    readonly dropped?: (type: string) => void;
    /** An attempt ended here in this way. */
    readonly attemptEnded?: (state: string) => void;
}

/** A version of a model. @public */
export interface ModelVersion {
    readonly model: string;
    readonly version: string;
}

/** An attempt that the table of the agent holds. @internal */
export interface Attempt extends TableAttempt {
    /** Stops for good because the agent closes. */
    abandon(): void;
    /** Asks the attempt to end soon, so that its request goes on elsewhere. */
    handOver(): void;
    /** The model version that the attempt runs on or waits for, if any. */
    readonly uses: ModelVersion | undefined;
    /** True while the attempt runs or waits, so that ending now would cut a request off. */
    readonly active: boolean;
}

/**
 * What the parts of one agent share.
 *
 * @internal
 */
export interface AgentContext {
    readonly target: string;
    readonly clock: Clock;
    readonly engine: Engine;
    readonly pool: LinkPool;
    readonly queue: WorkQueue;
    readonly configuration: Configuration;
    readonly record: HistoryRecorder;
    readonly log: Logger;
    readonly tracer: Tracer;
    readonly metrics: AgentMetrics;
    readonly settings: AgentSettings;
    readonly links: LinkWatch;
    readonly sessions: SessionTable;
    readonly table: AttemptTable<Attempt>;
    readonly held: HeldModels;
    readonly load: LoadMeter;
    readonly cache: CacheWatch;
    readonly activity: EngineActivity;
}
