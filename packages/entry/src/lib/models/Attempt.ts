import { type Span, SpanKind, type Tracer } from "@opentelemetry/api";
import { context, trace } from "@opentelemetry/api";
import { type AttemptEnd, type RoutedAttempt } from "@waxwingspar/policy";
import { traceparentOf } from "@waxwingspar/telemetry";
import { type Exporter } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type EntryLimits } from "../EntryLimits.js";
import { type AgentLink } from "../links/AgentLink.js";
import { type CachedCounts, cachedTextBlocks } from "./cachedTextBlocks.js";
import { type ModelRequest } from "./ModelRequest.js";

/** @internal */
export interface AttemptOptions {
    readonly request: ModelRequest;
    readonly epoch: number;
    readonly routed: RoutedAttempt;
    /** The link to the head. */
    readonly link: AgentLink;
    readonly clock: Clock;
    readonly tracer: Tracer;
    /** The span of the whole request. */
    readonly span: Span;
}

/** @internal */
export interface OpenDetails {
    readonly produced: readonly number[];
    readonly exporters: readonly Exporter[];
    readonly credit: number;
    /**
     * Milliseconds within which the first token is due; the head refuses a request that it predicts to miss this bound.
     */
    readonly firstTokenBound: number;
    readonly claim: string | undefined;
}

/**
 * One attempt of a model request on one chain of targets.
 *
 * @internal
 */
export class Attempt {
    readonly epoch: number;
    private readonly options: AttemptOptions;
    private readonly span: Span;
    private readonly sentAt: number;
    private lastSeen: number;
    private extendedAt = -Infinity;
    private started = false;
    /** True if the stages may have fetched their KV cache from the stages of another attempt. */
    private mayFetchCache = false;

    constructor(options: AttemptOptions) {
        this.options = options;
        this.epoch = options.epoch;
        this.sentAt = options.clock.now();
        this.lastSeen = this.sentAt;
        this.span = options.tracer.startSpan("entry.attempt", {
            kind: SpanKind.CLIENT,
            attributes: { "waxwingspar.epoch": this.epoch, "waxwingspar.head": this.head },
        }, trace.setSpan(context.active(), options.span));
    }

    /** The target of the first stage. */
    get head(): string {
        return this.options.routed.stages[0]?.target ?? "";
    }

    /** Sends the request to the head. */
    open({ produced, exporters, credit, firstTokenBound, claim }: OpenDetails): void {
        const { request, routed, link } = this.options;
        this.mayFetchCache = exporters.length > 0;
        link.send({
            type: "open",
            request: request.id,
            epoch: this.epoch,
            model: request.model,
            version: request.version,
            adapter: request.adapter,
            organisation: request.organisation,
            priority: request.priority,
            timeLeft: request.deadline - this.sentAt,
            firstTokenBound,
            prompt: request.prompt,
            produced: [...produced],
            sampling: request.sampling,
            stages: [...routed.stages],
            claim,
            exporters: [...exporters],
            credit,
            traceparent: traceparentOf(this.span),
        });
    }

    /** Records the arrival of tokens. */
    tokens(now: number, count: number): void {
        if (this.started) {
            this.options.routed.token((now - this.lastSeen) / count);
        }
        else {
            this.started = true;
            this.options.routed.firstToken(now - this.sentAt);
            this.span.addEvent("first token");
        }
        this.lastSeen = now;
    }

    /**
     * Reports to the router how much of the prompt was in the prefix caches. Skipped if the KV cache may have been
     * fetched from another attempt, as that would be counted as a prefix hit.
     */
    cached(counts: CachedCounts): void {
        if (!this.mayFetchCache) {
            const { request, routed } = this.options;
            routed.cached?.(cachedTextBlocks(request.prompt, counts));
        }
    }

    /** Restarts the timeout for silence. */
    touch(now: number): void {
        this.lastSeen = now;
    }

    /** Extends the timeout of a silent attempt by its full length. */
    wait(now: number): void {
        this.extendedAt = now;
    }

    /** The clock's time at which the attempt times out if nothing arrives before. */
    silenceDeadline(limits: EntryLimits): number {
        const since = Math.max(this.lastSeen, this.extendedAt);
        return since + (this.started ? limits.tokenTimeout : limits.firstTokenTimeout);
    }

    credit(upTo: number): void {
        this.options.link.send({ type: "credit", request: this.options.request.id, epoch: this.epoch, upTo });
    }

    /** @param retain - True if another attempt follows that could use the KV cache of this one. */
    cancel(retain: boolean): void {
        this.options.link.send({ type: "cancel", request: this.options.request.id, epoch: this.epoch, retain });
    }

    /** Stages from which the next attempt may fetch the KV cache: all except the one that failed. */
    exporters(failed: string | undefined): Exporter[] {
        return this.options.routed.stages
            .filter(stage => stage.target !== failed)
            .map(stage => ({ ...stage, epoch: this.epoch }));
    }

    /** Reports the end, and the rest that the target at fault asks for, to the router and drops all further messages. */
    end(result: AttemptEnd, target?: string, rest?: number): void {
        this.options.link.detach(this.options.request.id);
        this.options.routed.end(result, target, rest);
        this.span.setAttribute("waxwingspar.result", result);
        this.span.end();
    }
}
