import { type Span, SpanKind, type Tracer } from "@opentelemetry/api";
import { context, trace } from "@opentelemetry/api";
import { type StoredReply } from "@waxwingspar/claims";
import { findHeadFault } from "@waxwingspar/connections";
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
import { fromWire, restAskedBy } from "../recovery/failures.js";
import { Recovery } from "../recovery/Recovery.js";
import { ReplyCredit } from "./ReplyCredit.js";
import { returnedHeaders } from "./serviceHeaders.js";

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
 * The destination of a call's answer.
 *
 * @internal
 */
export interface ReplySink {
    /** Bytes that are pending for the caller. */
    readonly waiting: number;
    /** Sets the function to call when the pending bytes have been written out. */
    onDrain(handler: () => void): void;
    head(status: number, headers: ReplyHeaders): void;
    body(data: Uint8Array): void;
    end(): void;
    /** Ends a call that has no complete answer. */
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
    /** Called once, when the call has ended. */
    readonly onEnd: () => void;
}

/** An attempt in progress. */
interface CallAttempt {
    readonly target: string;
    readonly link: AgentLink;
    /** Undefined if the claim of an earlier duplicate determined the target. */
    readonly routed: RoutedAttempt | undefined;
    readonly sentAt: number;
    readonly span: Span;
    readonly credit: ReplyCredit;
}

/**
 * Runs one plain call: makes attempts until one answers or no further attempt is allowed. Once an answer has begun,
 * there are no further attempts.
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
        options.sink.onDrain(() => this.attempt?.credit.update());
        this.recovery = new Recovery({
            retryBudget: options.retryBudget,
            clock: options.clock,
            maxAttempts: options.limits.maxAttempts,
            binding: options.binding,
            mayHaveRunCode: requestCodes.outcomeUnknown,
            onRetry: cause => options.metrics.retried(options.request.service, cause.code.number),
        });
    }

    /** Begins the first attempt. */
    start(): void {
        const { clock } = this.options;
        this.timer = clock.schedule(() => this.expire(), Math.max(0, this.request.deadline - clock.now()));
        void this.startNextAttempt();
    }

    /** Whether an attempt was sent that may have run. */
    get mayHaveRun(): boolean {
        return this.attempt !== undefined || this.recovery.mayHaveRun;
    }

    /** Ends the call because its caller has disconnected, its deadline has passed or this process stops. */
    cancel(cause: Failure): void {
        this.attempt?.link.send({ type: "callCancel", request: this.request.id });
        this.endAttempt("cancelled");
        this.finish(cause);
    }

    onMessage(message: Message): void {
        if (this.attempt === undefined) {
            return;
        }
        switch (message.type) {
            case "reply":
                return this.receiveHead(this.attempt, message);
            case "replyBody":
                return this.forwardBody(this.attempt, message.data, message.last);
            case "callFailed":
                return this.attemptFailed(fromWire(message.failure));
            default:
                return;
        }
    }

    onLost(): void {
        this.attemptFailed(failure(transportCodes.connectionLost, "the link to the target was lost"));
    }

    private receiveHead(attempt: CallAttempt, reply: Extract<Message, { readonly type: "reply"; }>): void {
        const head = checkHead(reply);
        if (head.isErr) {
            attempt.link.send({ type: "callCancel", request: this.request.id });
            this.attemptFailed(head.error);
            return;
        }
        this.begun = true;
        attempt.credit.active = reply.credited === true;
        this.options.sink.head(reply.status, head.value);
    }

    private forwardBody(attempt: CallAttempt, data: Uint8Array, last: boolean): void {
        this.options.sink.body(data);
        if (last) {
            this.complete(attempt);
            return;
        }
        attempt.credit.addForwarded(data.length);
    }

    private async startNextAttempt(): Promise<void> {
        if (this.ended) {
            return;
        }
        const { router } = this.options;
        const chosen = router.chooseService(this.request.service, this.recovery.exclude);
        if (chosen.isErr) {
            return this.retryOrFinish(chosen.error, this.recovery.afterNoTarget(chosen.error));
        }
        const routed = chosen.value;
        const stage = routed.stages[0];
        if (stage === undefined) {
            return this.finish(failure(requestCodes.noCapacity, "no target serves this service"));
        }
        const connected = await this.connect(stage);
        if (this.ended) {
            return routed.end("cancelled");
        }
        if (connected.isErr) {
            routed.end("refused");
            const { binding } = this.options;
            if (binding?.storedReply !== undefined) {
                return this.sendStoredReply(binding.storedReply);
            }
            return this.retryOrFinish(connected.error, this.recovery.afterNotSent(connected.error, stage.target));
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

    /** Answers a duplicate with the reply that the runner of its claim has stored. Nothing runs. */
    private sendStoredReply(reply: StoredReply): void {
        const head = checkHead(reply);
        if (head.isErr) {
            this.finish(failure(requestCodes.outcomeUnknown, head.error.message));
            return;
        }
        this.options.sink.head(reply.status, head.value);
        this.options.sink.body(Buffer.from(reply.body, "base64"));
        this.answered();
    }

    private complete(attempt: CallAttempt): void {
        attempt.routed?.firstToken(this.options.clock.now() - attempt.sentAt);
        this.endAttempt("completed");
        this.recovery.completed();
        this.answered();
    }

    private answered(): void {
        const { clock, history, metrics, sink, onEnd } = this.options;
        this.markEnded();
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
        const end = cause.code.execution === "not run" ? "refused" : "failed";
        this.endAttempt(end, attempt.target, restAskedBy(cause));
        const delay = this.recovery.afterFailed(cause, attempt.target, false);
        this.retryOrFinish(cause, this.begun ? undefined : delay);
    }

    /** Starts another attempt after a delay, or ends the call if the delay is undefined. */
    private retryOrFinish(cause: Failure, delay: number | undefined): void {
        if (delay === undefined) {
            return this.finish(cause);
        }
        if (delay === 0) {
            void this.startNextAttempt();
            return;
        }
        this.options.clock.schedule(() => void this.startNextAttempt(), delay);
    }

    private endAttempt(result: AttemptEnd, target?: string, rest?: number): void {
        const { attempt } = this;
        this.attempt = undefined;
        attempt?.link.detach(this.request.id);
        attempt?.routed?.end(result, target, rest);
        attempt?.span.setAttribute("waxwingspar.result", result);
        attempt?.span.end();
    }

    /** Ends the call without a complete answer. */
    private finish(cause: Failure): void {
        if (this.ended) {
            return;
        }
        this.markEnded();
        const { clock, history, metrics, sink, onEnd } = this.options;
        const final = this.recovery.toCallerFailure(cause);
        const { execution, number } = final.code;
        history({ event: "request.ended", request: this.request.id, outcome: execution, code: number });
        metrics.requestEnded(this.request.service, number, clock.now() - this.request.arrived, 0);
        sink.fail(final);
        onEnd();
    }

    private markEnded(): void {
        this.ended = true;
        this.timer?.cancel();
    }

    private expire(): void {
        const code = this.mayHaveRun ? requestCodes.deadlineExceeded : requestCodes.deadlinePassed;
        this.cancel(failure(code, "the deadline passed"));
    }
}

/** @returns The headers of a service's answer that are returned to its caller, if its head can be written. */
function checkHead({ status, headers }: Pick<StoredReply, "status" | "headers">): Outcome<ReplyHeaders> {
    const returned = returnedHeaders(headers);
    const rawHeaders = Object.entries(returned).flatMap(([name, value]) => [value].flat().flatMap(one => [name, one]));
    const fault = findHeadFault({ statusCode: status, rawHeaders });
    return fault === undefined
        ? Result.ok(returned)
        : Result.err(failure(transportCodes.protocolViolation, `the service's answer has a malformed head: ${fault}`));
}
