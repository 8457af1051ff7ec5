import { type AttemptEnd, type RoutedAttempt } from "@waxwingspar/policy";
import {
    type DoneMessage,
    type Exporter,
    type FailedMessage,
    type Message,
    type TokensMessage,
} from "@waxwingspar/transport";
import { type Failure, failure, type Outcome, requestCodes, type Timer, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type AgentLink, type LinkHandler } from "../links/AgentLink.js";
import { type BoundRunner } from "../links/ClaimBinding.js";
import { fromWire, restAskedBy } from "../recovery/failures.js";
import { Recovery } from "../recovery/Recovery.js";
import { type ChainChoice, chooseChain } from "../versions/chooseChain.js";
import { Attempt } from "./Attempt.js";
import { headOf, rerouteToRunner } from "./chains.js";
import { type ModelRequest } from "./ModelRequest.js";
import { type RequestRunOptions } from "./RequestRunOptions.js";

/** The target that failed, and whether it still exports its KV cache because it is only leaving. */
type AttemptFailure = Partial<Pick<FailedMessage, "target" | "exportable" | "load">>;

/**
 * Runs one model request: makes attempts with increasing epochs until the answer is complete or no further attempt is
 * allowed. Each token is delivered to the caller exactly once, identified by its position in the answer.
 *
 * @internal
 */
export class RequestRun implements LinkHandler {
    private readonly options: RequestRunOptions;
    private request: ModelRequest;
    private readonly produced: number[] = [];
    private readonly recovery: Recovery;
    private epoch = 0;
    private attempt: Attempt | undefined;
    private exporters: readonly Exporter[] = [];
    private granted = 0;
    private callerReady = true;
    private ended = false;
    private timer: Timer | undefined;

    constructor(options: RequestRunOptions) {
        this.options = options;
        this.request = options.request;
        this.recovery = new Recovery({
            retryBudget: options.retryBudget,
            clock: options.clock,
            maxAttempts: options.limits.maxAttempts,
            binding: options.binding,
            mayHaveRunCode: requestCodes.stageLost,
            onRetry: cause => options.metrics.retried(options.request.model, cause.code.number),
        });
    }

    /** Begins the first attempt. */
    start(): void {
        this.checkTimeouts();
        void this.startNextAttempt();
    }

    /** Grants credit again once the caller has read the pending data. */
    resume(): void {
        this.callerReady = true;
        this.grant();
    }

    /** Whether an attempt was sent that may have run. */
    get mayHaveRun(): boolean {
        return this.attempt !== undefined || this.recovery.mayHaveRun;
    }

    /** Ends the request because its caller has disconnected or this process stops. */
    cancel(cause: Failure): void {
        this.attempt?.cancel(false);
        this.endAttempt("cancelled");
        this.finish(cause);
    }

    onMessage(message: Message): void {
        if (this.attempt === undefined || !("epoch" in message) || message.epoch !== this.attempt.epoch) {
            return;
        }
        switch (message.type) {
            case "tokens":
                return this.receiveTokens(message, this.attempt);
            case "done":
                return this.complete(message, this.attempt);
            case "failed":
                return this.attemptFailed(fromWire(message.failure), message);
            default:
                return;
        }
    }

    onLost(): void {
        if (this.attempt !== undefined) {
            const target = this.attempt.head;
            this.attemptFailed(failure(transportCodes.connectionLost, "the link to the head was lost"), { target });
        }
    }

    private async startNextAttempt(): Promise<void> {
        if (this.ended) {
            return;
        }
        const chosen = this.choose();
        if (chosen.isErr) {
            return this.retryOrFinish(chosen.error, this.recovery.afterNoTarget(chosen.error));
        }
        let routed = chosen.value;
        const connected = await this.connect(routed);
        if (this.ended) {
            return routed.end("cancelled");
        }
        if (connected.isErr) {
            routed.end("refused");
            const delay = this.recovery.afterNotSent(connected.error, headOf(routed));
            return this.retryOrFinish(connected.error, delay);
        }
        const { agent, link, claim } = connected.value;
        if (headOf(routed) !== agent.target) {
            routed.end("cancelled");
            routed = this.choose().unwrapOr(rerouteToRunner(routed, agent));
        }
        this.open(routed, link, claim?.id);
    }

    private choose(): Outcome<RoutedAttempt> {
        const chosen = chooseChain(this.createChoice(this.recovery.exclude));
        if (chosen.isOk && chosen.value.request !== this.request) {
            this.request = chosen.value.request;
            // A KV cache cannot be used by another version.
            this.exporters = [];
        }
        return chosen.map(({ routed }) => routed);
    }

    private createChoice(exclude: ReadonlySet<string>): ChainChoice {
        const { router, versions, binding } = this.options;
        const { request } = this;
        return { router, versions, request, exclude, head: binding?.target, mayChangeVersion: this.mayChangeVersion() };
    }

    /** Whether another version may be used. The runner of a claim may hold an undelivered part of the answer. */
    private mayChangeVersion(): boolean {
        return this.produced.length === 0 && (this.options.binding === undefined || !this.recovery.mayHaveRun);
    }

    private async connect(
        routed: RoutedAttempt,
    ): Promise<Outcome<Pick<BoundRunner, "agent" | "link"> & Partial<BoundRunner>>> {
        const head = routed.stages[0];
        if (head === undefined) {
            return Result.err(failure(requestCodes.noCapacity, "the chain is empty"));
        }
        const { links, binding } = this.options;
        const link = await links.connect(head);
        if (link.isErr) {
            return Result.err(link.error);
        }
        return binding === undefined ? Result.ok({ agent: head, link: link.value }) : binding.bind(head, link.value);
    }

    private open(routed: RoutedAttempt, link: AgentLink, claim: string | undefined): void {
        const { clock, history, limits, span, tracer } = this.options;
        this.epoch++;
        this.granted = this.produced.length + limits.creditWindow;
        this.attempt = new Attempt({ request: this.request, epoch: this.epoch, routed, link, clock, tracer, span });
        history({
            event: "attempt.started",
            request: this.request.id,
            epoch: this.epoch,
            targets: routed.stages.map(stage => stage.target),
            resumeAt: this.produced.length,
        });
        link.attach(this.request.id, this);
        this.attempt.open({
            produced: this.produced,
            exporters: this.exporters,
            credit: limits.creditWindow,
            firstTokenBound: this.firstTokenBound(),
            claim,
        });
        if (!link.open) {
            this.onLost();
        }
    }

    /** After a loss the full bound applies again, so that the time taken by the loss does not cause a refusal. */
    private firstTokenBound(): number {
        const { arrived, firstTokenBound } = this.request;
        const left = arrived + firstTokenBound - this.options.clock.now();
        return this.recovery.mayHaveRun ? firstTokenBound : Math.max(0, left);
    }

    private receiveTokens(message: TokensMessage, attempt: Attempt): void {
        const skip = this.produced.length - message.position;
        if (skip < 0 || message.ids.length !== message.texts.length) {
            return this.abandon(failure(transportCodes.protocolViolation, "tokens of the answer are missing"));
        }
        const room = this.request.sampling.maxTokens - message.position;
        if (skip >= message.ids.length || skip >= room) {
            return;
        }
        const whole = skip === 0 && message.ids.length <= room;
        this.deliver(
            attempt,
            whole ? message.ids : message.ids.slice(skip, room),
            whole ? message.texts : message.texts.slice(skip, room),
        );
    }

    private deliver(attempt: Attempt, ids: number[], texts: readonly string[]): void {
        const { clock, history, metrics, sink } = this.options;
        const now = clock.now();
        const position = this.produced.length;
        history({ event: "tokens.sent", request: this.request.id, epoch: attempt.epoch, position, ids });
        this.produced.push(...ids);
        attempt.tokens(now, ids.length);
        if (position === 0) {
            metrics.firstToken(this.request.model, now - this.request.arrived);
        }
        if (this.recovery.lostAt !== undefined) {
            metrics.recovered(this.request.model, now - this.recovery.lostAt);
            this.recovery.progressed();
        }
        this.callerReady = sink.write(texts) && this.callerReady;
        this.grant();
    }

    /** Grants more credit once half of the window is used up. */
    private grant(): void {
        const { creditWindow } = this.options.limits;
        const upTo = this.produced.length + creditWindow;
        if (this.callerReady && this.attempt !== undefined && upTo - this.granted >= creditWindow / 2) {
            this.granted = upTo;
            this.attempt.touch(this.options.clock.now());
            this.attempt.credit(upTo);
        }
    }

    private complete(message: DoneMessage, attempt: Attempt): void {
        // Tokens that a stop string cut off are counted in `answerTokens` but are not sent.
        const cut = message.finish === "stop" && this.request.sampling.stop.length > 0;
        if (!cut && message.answerTokens > this.produced.length) {
            return this.abandon(
                failure(transportCodes.protocolViolation, "the head ended the answer before sending all of its tokens"),
            );
        }
        const answerTokens = this.produced.length;
        const { promptTokens, cachedTokens, finish } = message;
        attempt.cached(message);
        this.endAttempt("completed");
        this.recovery.completed();
        if (!this.markEnded()) {
            return;
        }
        const { history, metrics, sink, clock, span } = this.options;
        history({ event: "request.ended", request: this.request.id, outcome: "completed", tokens: answerTokens });
        metrics.requestEnded(this.request.model, 0, clock.now() - this.request.arrived, answerTokens);
        span.setAttribute("waxwingspar.attempts", attempt.epoch);
        if (message.text !== undefined) {
            sink.write([message.text]);
        }
        sink.end({ finish, promptTokens, cachedTokens, answerTokens });
        this.options.onEnd();
    }

    /** Cancels an attempt that is still running and handles it as failed. */
    private abandon(cause: Failure): void {
        this.attempt?.cancel(true);
        this.attemptFailed(cause, { target: this.attempt?.head });
    }

    private attemptFailed(cause: Failure, { target, exportable = false, load }: AttemptFailure): void {
        const attempt = this.attempt;
        if (attempt === undefined) {
            return;
        }
        const refused = cause.code.execution === "not run";
        this.endAttempt(refused ? "refused" : "failed", target, restAskedBy(cause));
        if (!refused) {
            this.exporters = attempt.exporters(exportable ? undefined : target);
        }
        const isBudgetExempt = load?.leaving === true
            || (this.produced.length > 0 && (refused || !this.recovery.mayHaveRun));
        this.retryOrFinish(cause, this.recovery.afterFailed(cause, target ?? attempt.head, isBudgetExempt));
    }

    /** Starts another attempt after a delay, or ends the request if the delay is undefined. */
    private retryOrFinish(cause: Failure, delay: number | undefined): void {
        if (delay === undefined) {
            return this.finish(cause);
        }
        this.schedule(delay);
    }

    private schedule(delay: number): void {
        if (delay === 0) {
            void this.startNextAttempt();
            return;
        }
        this.options.clock.schedule(() => void this.startNextAttempt(), delay);
    }

    private endAttempt(result: AttemptEnd, target?: string, rest?: number): void {
        this.attempt?.end(result, target, rest);
        this.attempt = undefined;
    }

    /** Ends the request without a complete answer. */
    private finish(cause: Failure): void {
        if (!this.markEnded()) {
            return;
        }
        const { clock, history, metrics, sink, onEnd } = this.options;
        const final = this.recovery.toCallerFailure(cause);
        history({
            event: "request.ended",
            request: this.request.id,
            outcome: final.code.execution,
            code: final.code.number,
            tokens: this.produced.length,
        });
        const duration = clock.now() - this.request.arrived;
        metrics.requestEnded(this.request.model, final.code.number, duration, this.produced.length);
        sink.fail(final);
        onEnd();
    }

    private markEnded(): boolean {
        const first = !this.ended;
        this.ended = true;
        this.timer?.cancel();
        return first;
    }

    /** Checks the deadline and the silence timeout with one timer, which is not rescheduled for each token. */
    private checkTimeouts(): void {
        const now = this.options.clock.now();
        if (now >= this.request.deadline) {
            return this.expire();
        }
        const silenceDeadline = this.silenceDeadline();
        if (silenceDeadline !== undefined && now >= silenceDeadline) {
            this.handleSilence(now);
        }
        if (!this.ended) {
            const due = Math.min(
                this.request.deadline,
                this.silenceDeadline() ?? now + this.options.limits.tokenTimeout,
            );
            this.timer = this.options.clock.schedule(() => this.checkTimeouts(), Math.max(1, due - now));
        }
    }

    /** Replaces a silent attempt. If there is no alternative, extends its timeout, as it may still answer. */
    private handleSilence(now: number): void {
        const { attempt } = this;
        if (attempt === undefined) {
            return;
        }
        const cause = failure(transportCodes.requestTimeout, "the head sent no message within the time limit");
        const isFirstLoss = this.produced.length > 0 && !this.recovery.mayHaveRun;
        const delay = this.hasOtherChain(attempt.head)
            ? this.recovery.afterSilence(cause, attempt.head, isFirstLoss)
            : undefined;
        if (delay === undefined) {
            attempt.wait(now);
            return;
        }
        attempt.cancel(true);
        this.endAttempt("failed", attempt.head);
        this.exporters = attempt.exporters(attempt.head);
        this.schedule(delay);
    }

    private hasOtherChain(head: string): boolean {
        const chosen = chooseChain(this.createChoice(new Set([...this.recovery.exclude, head])));
        return chosen.map(({ routed }) => routed.end("cancelled")).isOk;
    }

    private silenceDeadline(): number | undefined {
        if (this.attempt === undefined || !this.callerReady || this.produced.length >= this.granted) {
            return undefined;
        }
        return this.attempt.silenceDeadline(this.options.limits);
    }

    private expire(): void {
        const code = this.mayHaveRun ? requestCodes.deadlineExceeded : requestCodes.deadlinePassed;
        this.cancel(failure(code, "the deadline passed"));
    }
}
