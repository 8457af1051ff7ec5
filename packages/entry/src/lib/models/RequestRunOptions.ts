import { type Span, type Tracer } from "@opentelemetry/api";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type RetryBudget, type Router } from "@waxwingspar/policy";
import { type Clock } from "@waxwingspar/utils";
import { type EntryLimits } from "../EntryLimits.js";
import { type EntryMetrics } from "../EntryMetrics.js";
import { type AgentLinks } from "../links/AgentLinks.js";
import { type ClaimBinding } from "../links/ClaimBinding.js";
import { type ModelVersions } from "../versions/ModelVersions.js";
import { type AnswerSink } from "./AnswerSink.js";
import { type ModelRequest } from "./ModelRequest.js";

/** Options of a `RequestRun`. @internal */
export interface RequestRunOptions {
    readonly request: ModelRequest;
    readonly sink: AnswerSink;
    readonly links: AgentLinks;
    readonly router: Router;
    readonly retryBudget: RetryBudget;
    readonly clock: Clock;
    readonly history: HistoryRecorder;
    readonly metrics: EntryMetrics;
    readonly limits: EntryLimits;
    readonly versions: Pick<ModelVersions, "rank">;
    readonly tracer: Tracer;
    /** The span of the whole request. */
    readonly span: Span;
    /** Set for a request that is not idempotent. */
    readonly binding: ClaimBinding | undefined;
    /** Called once, when the request has ended. */
    readonly onEnd: () => void;
}
