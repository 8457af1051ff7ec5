import { type RoutedAttempt } from "@waxwingspar/policy";
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
import { fromWire } from "../recovery/failures.js";
import { Recovery } from "../recovery/Recovery.js";
import { type ChainChoice, chooseChain } from "../versions/chooseChain.js";
import { Attempt } from "./Attempt.js";
import { headOf, joinRunner } from "./chains.js";
import { type ModelRequest } from "./ModelRequest.js";
import { type RequestRunOptions } from "./RequestRunOptions.js";

/** Where an attempt failed, and whether that target still exports its KV cache because it only leaves. */
type AttemptFault = Partial<Pick<FailedMessage, "target" | "exportable" | "load">>;

/**
 * The life of one model request: attempts with growing epochs until the answer is whole, or until another attempt is
 * not allowed. Each token goes to the caller once, by its position in the answer.
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
            lostCode: requestCodes.stageLost,
            onRetry: cause => options.metrics.retried(options.request.model, cause.code.number),
        });
    }

    /** Begins the first attempt. */
    start(): void {
        this.watch();
        void this.next();
    }

    /** The caller has taken what was written; more may be sent. */
    resume(): void {
        this.callerReady = true;
        this.grant();
    }

    /** Ends the request because its caller, or this process, no longer waits for the answer. */
    cancel(cause: Failure): void {
        this.attempt?.cancel(false);
        this.settle("cancelled");
        this.finish(cause);
    }

    onMessage(message: Message): void {
        if (this.attempt === undefined || !("epoch" in message) || message.epoch !== this.attempt.epoch) {
            return;
        }
        switch (message.type) {
            case "tokens":
                return this.take(message, this.attempt);
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

    private async next(): Promise<void> {
        if (this.ended) {
            return;
        }
        const chosen = this.choose();
        if (chosen.isErr) {
            return this.proceed(chosen.error, this.recovery.afterNoChoice(chosen.error));
        }
        let routed = chosen.value;
        const connected = await this.connect(routed);
        if (this.ended) {
            return routed.end("cancelled");
        }
        if (connected.isErr) {
            routed.end("refused");
            const delay = this.recovery.afterNotSent(connected.error, headOf(routed));
            return this.proceed(connected.error, delay);
        }
        const { agent, link, claim } = connected.value;
        if (headOf(routed) !== agent.target) {
            routed.end("cancelled");
            routed = this.choose().unwrapOr(joinRunner(routed, agent));
        }
        this.open(routed, link, claim?.id);
    }

    private choose(): Outcome<RoutedAttempt> {
        const chosen = chooseChain(this.choice(this.recovery.exclude));
        if (chosen.isOk && chosen.value.request !== this.request) {
            this.request = chosen.value.request;
            // A KV cache of another version is of no use.
            this.exporters = [];
        }
        return chosen.map(({ routed }) => routed);
    }

    private choice(exclude: ReadonlySet<string>): ChainChoice {
        const { router, versions, binding } = this.options;
        const { request } = this;
        return { router, versions, request, exclude, head: binding?.target, mayChangeVersion: this.mayChangeVersion() };
    }

    /** The runner of a claim may hold a part of the answer that was not delivered yet. */
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

    /** After a loss the bound counts anew: work that has begun is not refused because its loss took up the time. */
    private firstTokenBound(): number {
        const { arrived, firstTokenBound } = this.request;
        const left = arrived + firstTokenBound - this.options.clock.now();
        return this.recovery.mayHaveRun ? firstTokenBound : Math.max(0, left);
    }

    private take(message: TokensMessage, attempt: Attempt): void {
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

    /** Grants more tokens once half of the window is used up. */
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
        // Tokens that a stop string cut off count as drawn and are not sent.
        const cut = message.finish === "stop" && this.request.sampling.stop.length > 0;
        if (!cut && message.answerTokens > this.produced.length) {
            return this.abandon(
                failure(transportCodes.protocolViolation, "the end of the answer came before its tokens"),
            );
        }
        const answerTokens = this.produced.length;
        const { promptTokens, cachedTokens, finish } = message;
        attempt.cached(message);
        this.settle("completed");
        this.recovery.completed();
        if (!this.close()) {
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

    /** Gives up an attempt that still runs, in favour of another. */
    private abandon(cause: Failure): void {
        this.attempt?.cancel(true);
        this.attemptFailed(cause, { target: this.attempt?.head });
    }

    private attemptFailed(cause: Failure, { target, exportable = false, load }: AttemptFault): void {
        const attempt = this.attempt;
        if (attempt === undefined) {
            return;
        }
        const refused = cause.code.execution === "not run";
        this.settle(refused ? "refused" : "failed", target);
        if (!refused) {
            this.exporters = attempt.exporters(exportable ? undefined : target);
        }
        const unfunded = load?.leaving === true || (this.produced.length > 0 && (refused || !this.recovery.mayHaveRun));
        this.proceed(cause, this.recovery.afterFailed(cause, target ?? attempt.head, unfunded));
    }

    /** Begins another attempt after a delay, or ends the request when there is to be none. */
    private proceed(cause: Failure, delay: number | undefined): void {
        if (delay === undefined) {
            return this.finish(cause);
        }
        this.schedule(delay);
    }

    private schedule(delay: number): void {
        if (delay === 0) {
            void this.next();
            return;
        }
        this.options.clock.schedule(() => void this.next(), delay);
    }

    private settle(result: "completed" | "refused" | "failed" | "cancelled", target?: string): void {
        this.attempt?.end(result, target);
        this.attempt = undefined;
    }

    /** Ends the request without a whole answer. */
    private finish(cause: Failure): void {
        if (!this.close()) {
            return;
        }
        const { clock, history, metrics, sink, onEnd } = this.options;
        const final = this.recovery.callersView(cause);
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

    private close(): boolean {
        const first = !this.ended;
        this.ended = true;
        this.timer?.cancel();
        return first;
    }

    /** Watches the deadline and silent attempts with one timer, which is not moved for each token. */
    private watch(): void {
        const now = this.options.clock.now();
        if (now >= this.request.deadline) {
            return this.expire();
        }
        const silentAt = this.silentAt();
        if (silentAt !== undefined && now >= silentAt) {
            this.fellSilent(now);
        }
        if (!this.ended) {
            const due = Math.min(this.request.deadline, this.silentAt() ?? now + this.options.limits.tokenTimeout);
            this.timer = this.options.clock.schedule(() => this.watch(), Math.max(1, due - now));
        }
    }

    /** Leaves a silent attempt for another one, or waits on: while nothing can take its place, its answer may still come. */
    private fellSilent(now: number): void {
        const { attempt } = this;
        if (attempt === undefined) {
            return;
        }
        const cause = failure(transportCodes.requestTimeout, "the head sent nothing for too long");
        const isFirstLoss = this.produced.length > 0 && !this.recovery.mayHaveRun;
        const delay = this.hasOtherChain(attempt.head)
            ? this.recovery.afterSilence(cause, attempt.head, isFirstLoss)
            : undefined;
        if (delay === undefined) {
            attempt.wait(now);
            return;
        }
        attempt.cancel(true);
        this.settle("failed", attempt.head);
        this.exporters = attempt.exporters(attempt.head);
        this.schedule(delay);
    }

    private hasOtherChain(head: string): boolean {
        const chosen = chooseChain(this.choice(new Set([...this.recovery.exclude, head])));
        return chosen.map(({ routed }) => routed.end("cancelled")).isOk;
    }

    private silentAt(): number | undefined {
        if (this.attempt === undefined || !this.callerReady || this.produced.length >= this.granted) {
            return undefined;
        }
        return this.attempt.silentAt(this.options.limits);
    }

    private expire(): void {
        const sent = this.attempt !== undefined;
        this.attempt?.cancel(false);
        this.settle("cancelled");
        const code = sent || this.recovery.mayHaveRun ? requestCodes.deadlineExceeded : requestCodes.deadlinePassed;
        this.finish(failure(code, "the deadline passed"));
    }
}
