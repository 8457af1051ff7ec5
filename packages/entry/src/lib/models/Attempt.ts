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
    /** Milliseconds in which the first token of this attempt is wanted; the head refuses what it predicts to miss. */
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
    private waitedAt = -Infinity;
    private started = false;
    /** True when stages may have fetched their KV cache from those of another attempt. */
    private fetches = false;

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
        this.fetches = exporters.length > 0;
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

    /** Takes note of tokens that came. */
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

    /** Tells the router how much of the prompt was in the prefix caches. A fetched KV cache would look like one. */
    cached(counts: CachedCounts): void {
        if (!this.fetches) {
            const { request, routed } = this.options;
            routed.cached?.(cachedTextBlocks(request.prompt, counts));
        }
    }

    /** Restarts the time after which the attempt counts as hung. */
    touch(now: number): void {
        this.lastSeen = now;
    }

    /** Lets the attempt go on though nothing came, until it has been silent for as long again. */
    wait(now: number): void {
        this.waitedAt = now;
    }

    /** The clock's time at which the attempt counts as hung if nothing comes until then. */
    silentAt(limits: EntryLimits): number {
        const since = Math.max(this.lastSeen, this.waitedAt);
        return since + (this.started ? limits.tokenTimeout : limits.firstTokenTimeout);
    }

    credit(upTo: number): void {
        this.options.link.send({ type: "credit", request: this.options.request.id, epoch: this.epoch, upTo });
    }

    /** @param retain - True when another attempt follows that could use the KV cache of this one. */
    cancel(retain: boolean): void {
        this.options.link.send({ type: "cancel", request: this.options.request.id, epoch: this.epoch, retain });
    }

    /** Stages whose KV cache the next attempt may fetch: all but the one that failed. */
    exporters(failed: string | undefined): Exporter[] {
        return this.options.routed.stages
            .filter(stage => stage.target !== failed)
            .map(stage => ({ ...stage, epoch: this.epoch }));
    }

    /** Reports the end to the router and drops what still comes. */
    end(result: AttemptEnd, target?: string): void {
        this.options.link.detach(this.options.request.id);
        this.options.routed.end(result, target);
        this.span.setAttribute("waxwingspar.result", result);
        this.span.end();
    }
}
