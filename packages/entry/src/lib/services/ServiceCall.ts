import { type Span, SpanKind, type Tracer } from "@opentelemetry/api";
import { context, trace } from "@opentelemetry/api";
import { type StoredReply } from "@waxwingspar/claims";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type AttemptEnd, type RetryBudget, type RoutedAttempt, type Router } from "@waxwingspar/policy";
import { traceparentOf } from "@waxwingspar/telemetry";
import { type Message, type ReplyHeaders } from "@waxwingspar/transport";
import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    requestCodes,
    type Timer,
    transportCodes,
} from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type EntryLimits } from "../EntryLimits.js";
import { type EntryMetrics } from "../EntryMetrics.js";
import { type AgentLink, type LinkHandler } from "../links/AgentLink.js";
import { type AgentAddress, type AgentLinks } from "../links/AgentLinks.js";
import { type ClaimBinding } from "../links/ClaimBinding.js";
import { fromWire } from "../recovery/failures.js";
import { Recovery } from "../recovery/Recovery.js";
import { ReplyCredit } from "./ReplyCredit.js";

/**
 * A plain call that has passed every check of the entry.
 *
 * @internal
 */
export interface ServiceRequest {
    readonly id: string;
    readonly service: string;
    readonly organisation: string;
    readonly priority: number;
    readonly method: string;
    /** Path and query below the service's root. */
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Uint8Array<ArrayBuffer>;
    readonly arrived: number;
    readonly deadline: number;
}

/**
 * Where the answer of a call goes.
 *
 * @internal
 */
export interface ReplySink {
    /** Bytes that wait for the caller. */
    readonly waiting: number;
    /** Sets what runs when the caller has taken what waited. */
    onTaken(handler: () => void): void;
    head(status: number, headers: ReplyHeaders): void;
    body(data: Uint8Array): void;
    end(): void;
    /** The call ended without a whole answer. */
    fail(failure: Failure): void;
}

/** @internal */
export interface ServiceCallOptions {
    readonly request: ServiceRequest;
    readonly sink: ReplySink;
    readonly links: AgentLinks;
    readonly router: Router;
    readonly retryBudget: RetryBudget;
    readonly clock: Clock;
    readonly history: HistoryRecorder;
    readonly metrics: EntryMetrics;
    readonly limits: EntryLimits;
    readonly tracer: Tracer;
    /** The span of the whole call. */
    readonly span: Span;
    /** Set for a call that is not idempotent. */
    readonly binding: ClaimBinding | undefined;
    /** Runs once, when the call has ended. */
    readonly onEnd: () => void;
}

/** An attempt in progress. */
interface CallAttempt {
    readonly target: string;
    readonly link: AgentLink;
    /** Absent when the claim of an earlier duplicate decided the target. */
    readonly routed: RoutedAttempt | undefined;
    readonly sentAt: number;
    readonly span: Span;
    readonly credit: ReplyCredit;
}

/**
 * The life of one plain call: attempts until one answers, or until another attempt is not allowed. Once the answer has
 * begun there is no other attempt.
 *
 * @internal
 */
export class ServiceCall implements LinkHandler {
    private readonly options: ServiceCallOptions;
    private readonly request: ServiceRequest;
    private readonly recovery: Recovery;
    private attempt: CallAttempt | undefined;
    private attempts = 0;
    private begun = false;
    private ended = false;
    private timer: Timer | undefined;

    constructor(options: ServiceCallOptions) {
        this.options = options;
        this.request = options.request;
        options.sink.onTaken(() => this.attempt?.credit.update());
        this.recovery = new Recovery({
            retryBudget: options.retryBudget,
            clock: options.clock,
            maxAttempts: options.limits.maxAttempts,
            binding: options.binding,
            lostCode: requestCodes.outcomeUnknown,
            onRetry: cause => options.metrics.retried(options.request.service, cause.code.number),
        });
    }

    /** Begins the first attempt. */
    start(): void {
        const { clock } = this.options;
        this.timer = clock.schedule(() => this.expire(), Math.max(0, this.request.deadline - clock.now()));
        void this.next();
    }

    /** Ends the call because its caller, or this process, no longer waits for the answer. */
    cancel(cause: Failure): void {
        this.attempt?.link.send({ type: "callCancel", request: this.request.id });
        this.settle("cancelled");
        this.finish(cause);
    }

    onMessage(message: Message): void {
        if (this.attempt === undefined) {
            return;
        }
        switch (message.type) {
            case "reply":
                this.begun = true;
                this.attempt.credit.active = message.credited === true;
                return this.options.sink.head(message.status, message.headers);
            case "replyBody":
                return this.passOn(this.attempt, message.data, message.last);
            case "callFailed":
                return this.attemptFailed(fromWire(message.failure));
            default:
                return;
        }
    }

    onLost(): void {
        this.attemptFailed(failure(transportCodes.connectionLost, "the link to the target was lost"));
    }

    private passOn(attempt: CallAttempt, data: Uint8Array, last: boolean): void {
        this.options.sink.body(data);
        if (last) {
            this.complete(attempt);
            return;
        }
        attempt.credit.passedOn(data.length);
    }

    private async next(): Promise<void> {
        if (this.ended) {
            return;
        }
        const { router } = this.options;
        const chosen = router.chooseService(this.request.service, this.recovery.exclude);
        if (chosen.isErr) {
            return this.proceed(chosen.error, this.recovery.afterNoChoice(chosen.error));
        }
        const routed = chosen.value;
        const stage = routed.stages[0];
        if (stage === undefined) {
            return this.finish(failure(requestCodes.noCapacity, "no target serves this"));
        }
        const connected = await this.connect(stage);
        if (this.ended) {
            return routed.end("cancelled");
        }
        if (connected.isErr) {
            routed.end("refused");
            const { binding } = this.options;
            if (binding?.leftReply !== undefined) {
                return this.repeat(binding.leftReply);
            }
            return this.proceed(connected.error, this.recovery.afterNotSent(connected.error, stage.target));
        }
        const { target, link, claim } = connected.value;
        if (target !== stage.target) {
            routed.end("cancelled");
        }
        this.send(target, link, target === stage.target ? routed : undefined, claim);
    }

    private async connect(
        agent: AgentAddress,
    ): Promise<Outcome<{ target: string; link: AgentLink; claim: string | undefined; }>> {
        const { links, binding } = this.options;
        const link = await links.connect(agent);
        if (link.isErr) {
            return Result.err(link.error);
        }
        if (binding === undefined) {
            return Result.ok({ target: agent.target, link: link.value, claim: undefined });
        }
        const bound = await binding.bind(agent, link.value);
        return bound.map(({ claim, link, agent: { target } }) => ({ target, link, claim: claim.id }));
    }

    private send(target: string, link: AgentLink, routed: RoutedAttempt | undefined, claim: string | undefined): void {
        const { clock, history, span, tracer } = this.options;
        const { id, service, organisation, priority, method, path, headers, body, deadline } = this.request;
        const attemptSpan = tracer.startSpan("entry.call", {
            kind: SpanKind.CLIENT,
            attributes: { "waxwingspar.target": target },
        }, trace.setSpan(context.active(), span));
        const sentAt = clock.now();
        this.attempts++;
        this.attempt = { target, link, routed, sentAt, span: attemptSpan, credit: this.createCredit(link) };
        history({ event: "attempt.started", request: id, epoch: this.attempts, targets: [target], resumeAt: 0 });
        link.attach(id, this);
        link.send({
            type: "call",
            request: id,
            service,
            organisation,
            priority,
            timeLeft: deadline - sentAt,
            method,
            path,
            headers,
            body,
            claim,
            credit: this.options.limits.replyWindow,
            traceparent: traceparentOf(attemptSpan),
        });
        if (!link.open) {
            this.onLost();
        }
    }

    private createCredit(link: AgentLink): ReplyCredit {
        const { sink, limits } = this.options;
        const { id } = this.request;
        return new ReplyCredit({
            window: limits.replyWindow,
            waiting: () => sink.waiting,
            grant: upTo => link.send({ type: "replyCredit", request: id, upTo }),
        });
    }

    /** Answers a duplicate with what the runner of its claim left behind. Nothing runs. */
    private repeat({ status, headers, body }: StoredReply): void {
        this.options.sink.head(status, headers);
        this.options.sink.body(Buffer.from(body, "base64"));
        this.answered();
    }

    private complete(attempt: CallAttempt): void {
        attempt.routed?.firstToken(this.options.clock.now() - attempt.sentAt);
        this.settle("completed");
        this.recovery.completed();
        this.answered();
    }

    private answered(): void {
        const { clock, history, metrics, sink, onEnd } = this.options;
        this.close();
        history({ event: "request.ended", request: this.request.id, outcome: "completed" });
        metrics.requestEnded(this.request.service, 0, clock.now() - this.request.arrived, 0);
        sink.end();
        onEnd();
    }

    private attemptFailed(cause: Failure): void {
        const { attempt } = this;
        if (attempt === undefined) {
            return;
        }
        this.settle(cause.code.execution === "not run" ? "refused" : "failed", attempt.target);
        const delay = this.recovery.afterFailed(cause, attempt.target, false);
        this.proceed(cause, this.begun ? undefined : delay);
    }

    /** Begins another attempt after a delay, or ends the call when there is to be none. */
    private proceed(cause: Failure, delay: number | undefined): void {
        if (delay === undefined) {
            return this.finish(cause);
        }
        if (delay === 0) {
            void this.next();
            return;
        }
        this.options.clock.schedule(() => void this.next(), delay);
    }

    private settle(result: AttemptEnd, target?: string): void {
        const { attempt } = this;
        this.attempt = undefined;
        attempt?.link.detach(this.request.id);
        attempt?.routed?.end(result, target);
        attempt?.span.setAttribute("waxwingspar.result", result);
        attempt?.span.end();
    }

    /** Ends the call without a whole answer. */
    private finish(cause: Failure): void {
        if (this.ended) {
            return;
        }
        this.close();
        const { clock, history, metrics, sink, onEnd } = this.options;
        const final = this.recovery.callersView(cause);
        const { execution, number } = final.code;
        history({ event: "request.ended", request: this.request.id, outcome: execution, code: number });
        metrics.requestEnded(this.request.service, number, clock.now() - this.request.arrived, 0);
        sink.fail(final);
        onEnd();
    }

    private close(): void {
        this.ended = true;
        this.timer?.cancel();
    }

    private expire(): void {
        const mayHaveRun = this.attempt !== undefined || this.recovery.mayHaveRun;
        const code = mayHaveRun ? requestCodes.deadlineExceeded : requestCodes.deadlinePassed;
        this.cancel(failure(code, "the deadline passed"));
    }
}
