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
 * Callbacks through which an agent reports its metrics. All durations are in milliseconds.
 *
 * @public
 */
export interface AgentMetrics {
    /** Reports the duration from the start of a request to its first token. */
    readonly firstToken?: (duration: number) => void;
    /** Reports the duration between two tokens of one stream. */
    readonly tokenInterval?: (duration: number) => void;
    /** Reports the type of a message that was dropped as late, repeated, unexpected or from a superseded attempt. */
    readonly dropped?: (type: string) => void;
    /** Reports the state in which an attempt ended at this agent. */
    readonly attemptEnded?: (state: string) => void;
}

/** A version of a model. @public */
export interface ModelVersion {
    readonly model: string;
    readonly version: string;
}

/** An attempt in the {@link AttemptTable} of the agent. @internal */
export interface Attempt extends TableAttempt {
    /** Stops the attempt because the agent closes. */
    abandon(): void;
    /** Requests that the attempt ends soon, so that its request continues on another chain. */
    handOver(): void;
    /** The model version that the attempt uses or waits for, if any. */
    readonly uses: ModelVersion | undefined;
    /** True while the attempt runs or waits, so that ending it now would interrupt a request. */
    readonly active: boolean;
}

/**
 * The components and settings that the parts of one agent share.
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
