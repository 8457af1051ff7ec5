import { type Span } from "@opentelemetry/api";
import { parentContext, traceparentOf } from "@waxwingspar/telemetry";
import { type OpenMessage } from "@waxwingspar/transport";
import { type Failure, failure, requestCodes, type Timer } from "@waxwingspar/utils";
import { type AgentContext, type Attempt, type ModelVersion } from "../AgentContext.js";
import { callEngine } from "../callEngine.js";
import { type AttemptEvent, type AttemptState, createAttemptChart } from "../charts/attemptChart.js";
import { asNotRun, asStarted, type ChainFault, fromWire } from "../faults.js";
import { type JoinedMessage, type StageFailedMessage } from "../messages.js";
import { contextTokensOf, type Timeouts, timeoutsOf } from "../modelLimits.js";
import { type SampledToken } from "../stage/StageRunner.js";
import { StageSession } from "../stage/StageSession.js";
import { type AnswerSink } from "./AnswerSink.js";
import { estimateCost, headPlan, joinRequest } from "./chainMessages.js";
import { Decoder } from "./Decoder.js";
import { type EntryStream } from "./EntryStream.js";
import { LaterStages } from "./LaterStages.js";
import { TokenTimes } from "./TokenTimes.js";

/** @internal */
export interface HeadAttemptOptions {
    readonly message: OpenMessage;
    /** Answer tokens that earlier attempts produced; the attempt continues after them. */
    readonly produced: readonly number[];
    readonly sink: AnswerSink;
    /** The stream to the entry that opened the attempt, which receives the entry's credit. */
    readonly entry: EntryStream;
    /** True for a claimed request, which runs to completion even if its caller has disconnected. */
    readonly claimed: boolean;
    /** True if the attempt continues a run that this agent has accepted before, which does not count as new work. */
    readonly isContinuation: boolean;
    /** Called when the attempt has ended for any reason, before the sink is notified. */
    readonly ended?: (attempt: HeadAttempt) => void;
}

/**
 * An attempt at the head of its chain: waits for a slot, prepares all stages, runs the prompt and then decodes token by
 * token.
 *
 * @internal
 */
export class HeadAttempt implements Attempt {
    readonly epoch: number;
    private readonly chart = createAttemptChart();
    private readonly item: string;
    private readonly timeouts: Timeouts;
    private span: Span | undefined;
    private deadline: Timer | undefined;
    /** Expires when the stages are not ready in time. */
    private readyTimer: Timer | undefined;
    private session: StageSession | undefined;
    private later: LaterStages | undefined;
    private promptTokens = 0;
    private cachedTokens = 0;
    private readonly decoder: Decoder;
    private readonly times: TokenTimes;

    constructor(private readonly context: AgentContext, private readonly options: HeadAttemptOptions) {
        const { request, epoch, model } = options.message;
        this.epoch = epoch;
        this.item = `${request}/${epoch}`;
        this.timeouts = timeoutsOf(context.configuration, model, context.settings);
        this.times = new TokenTimes(context);
        this.decoder = this.createDecoder();
    }

    get uses(): ModelVersion | undefined {
        return this.chart.ended ? undefined : this.options.message;
    }

    /** True while the attempt runs, or while a slow caller has not yet received the whole answer. */
    get active(): boolean {
        return !this.chart.ended || !this.options.entry.closed;
    }

    get state(): AttemptState {
        return this.chart.state;
    }

    /** True once any layer may have run. */
    get started(): boolean {
        return this.session?.started === true;
    }

    /** Requests a slot from the work queue. */
    offer(): void {
        const { message, isContinuation } = this.options;
        if (isContinuation && this.context.load.leaving) {
            // The queue accepts nothing while the target drains, but a run accepted earlier must not be interrupted.
            this.start();
            return;
        }
        const offered = this.context.queue.offer({
            id: this.item,
            organisation: message.organisation,
            priority: message.priority,
            timeLeft: message.timeLeft,
            startBound: this.startBound(),
            cost: estimateCost(message),
            start: () => this.start(),
            refuse: reason => this.refuse({ failure: reason }),
        });
        if (offered.isErr) {
            this.refuse({ failure: offered.error });
        }
    }

    /** Continues decoding once the stream to the entry accepts tokens again. */
    resume(): void {
        this.decoder.resume();
    }

    credit(upTo: number): void {
        this.options.entry.credit(upTo);
    }

    /** Applies credit of the next stage, which accepts frames before this position. */
    grant(upTo: number): void {
        this.session?.grant(upTo);
    }

    /**
     * Handles a caller that has disconnected or cancelled. A claimed request that has started still runs to completion,
     * and its answer is kept for duplicates.
     */
    cancel(retain = false): void {
        this.options.entry.drop();
        if (!this.options.claimed || this.chart.state === "waiting") {
            this.stop("cancel", retain);
        }
    }

    supersede(): void {
        this.options.entry.drop();
        this.stop("cancel", true);
    }

    abandon(): void {
        this.abort("the agent stopped", false);
    }

    handOver(): void {
        if (!this.options.claimed) {
            this.abort("the target is leaving; continue on another target", true);
        }
    }

    joined(message: JoinedMessage): void {
        this.later?.joined(message);
    }

    stageFailed({ failure: reason, target, exportable }: StageFailedMessage): void {
        this.later?.fault({ failure: fromWire(reason), target, exportable });
    }

    /** Handles a token that the last stage has sampled. */
    sampled(message: SampledToken): void {
        this.decoder.sampled(message);
    }

    /**
     * The longest wait in the queue, in milliseconds. An answer that has begun is late already, so it may wait as long
     * as a new request, but no longer.
     */
    private startBound(): number {
        const { produced, firstTokenBound } = this.options.message;
        return produced.length === 0 ? firstTokenBound : Math.max(firstTokenBound, this.timeouts.firstToken);
    }

    private abort(message: string, exportable: boolean): void {
        const { target } = this.context;
        const fault = { failure: failure(requestCodes.stageLost, message), target, exportable };
        this.fail(fault);
        this.options.entry.failed(fault);
    }

    private start(): void {
        if (!this.chart.send("start")) {
            return;
        }
        const { context, options: { message, isContinuation } } = this;
        const { request, epoch } = message;
        this.times.start();
        if (!isContinuation) {
            context.record({ event: "work.accepted", request, epoch, target: context.target });
        }
        this.span = context.tracer.startSpan("agent.head", {
            attributes: { "waxwingspar.request": request, "waxwingspar.epoch": epoch },
        }, parentContext(message.traceparent));
        this.deadline = context.clock.schedule(() => this.expire(), message.timeLeft);
        void this.prepare();
    }

    private async prepare(): Promise<void> {
        const { message, produced } = this.options;
        this.readyTimer = this.context.clock.schedule(() => this.notReady(), 2 * this.joinTimeout());
        const prompt = await callEngine(() => this.context.engine.tokenize(message.model, message.prompt));
        if (this.chart.ended) {
            return;
        }
        if (prompt.isErr) {
            this.fail({ failure: prompt.error, target: this.context.target });
            return;
        }
        const tokens = [...prompt.value, ...produced];
        this.promptTokens = prompt.value.length;
        this.recordPrompt();
        if (tokens.length >= contextTokensOf(this.context.configuration, message.model)) {
            this.refuse({ failure: failure(requestCodes.tooLarge, "the prompt exceeds the model's context") });
            return;
        }
        if (produced.length >= message.sampling.maxTokens) {
            this.finish("length");
            return;
        }
        await this.prepareStages(tokens);
    }

    /** Prepares every stage, and starts after the shortest cached prefix of all stages. */
    private async prepareStages(tokens: number[]): Promise<void> {
        const session = this.createSession(tokens);
        const later = this.createLaterStages(tokens);
        this.session = session;
        this.later = later;
        const [own, others] = await Promise.all([session.prepare(), later.join()]);
        if (this.chart.ended) {
            return;
        }
        if (own.isErr) {
            this.fail(own.error);
            return;
        }
        if (others.isErr) {
            this.fail(others.error);
            return;
        }
        this.chart.send("ready");
        this.readyTimer?.cancel();
        // The last position must run even if it is cached, since the next token is sampled from it.
        const start = Math.min(own.value, others.value, tokens.length - 1);
        this.cachedTokens = Math.min(start, this.promptTokens);
        this.decoder.start(tokens, start);
    }

    private createDecoder(): Decoder {
        const { context, timeouts, times, options: { message, produced, sink } } = this;
        const { request, epoch, model, sampling: { stop, maxTokens } } = message;
        return new Decoder({
            context,
            request,
            epoch,
            timeouts,
            times,
            sink,
            stop,
            maxTokens,
            produced: produced.length,
            contextTokens: contextTokensOf(context.configuration, model),
            members: () => this.later?.members ?? [],
            ownPassed: () => this.session?.progress.passed ?? 0,
            submit: work => this.session?.submit(work),
            finished: (finish, rest) => this.finish(finish, rest),
            failed: fault => this.fail(fault),
        });
    }

    private createSession(tokens: readonly number[]): StageSession {
        return new StageSession(this.context, headPlan(this.options.message, tokens, this.timeouts), {
            sampled: token => this.decoder.sampled(token),
            failed: fault => this.fail(fault),
        });
    }

    private createLaterStages(tokens: number[]): LaterStages {
        const { message } = this.options;
        const timeLeft = message.timeLeft - this.times.elapsed;
        const traceparent = this.span === undefined ? message.traceparent : traceparentOf(this.span);
        return new LaterStages({
            context: this.context,
            join: joinRequest(message, tokens, timeLeft, traceparent),
            timeout: this.joinTimeout(),
            lost: fault => this.fail(fault),
        });
    }

    private joinTimeout(): number {
        return this.timeouts.join(this.options.message.exporters.length > 0);
    }

    private recordPrompt(): void {
        const { request, epoch, stages } = this.options.message;
        const layers = (stages.at(-1)?.last ?? -1) + 1;
        this.context.record({ event: "prompt.read", request, epoch, tokens: this.promptTokens, layers });
    }

    private finish(finish: "stop" | "length", rest = ""): void {
        const { promptTokens, cachedTokens, decoder: { answerTokens } } = this;
        if (this.stop("finish", false)) {
            const text = rest === "" ? undefined : rest;
            this.options.sink.done({ finish, promptTokens, cachedTokens, answerTokens, text });
        }
    }

    private expire(): void {
        this.fail({ failure: failure(requestCodes.deadlineExceeded, "the deadline passed") });
    }

    private notReady(): void {
        const reason = failure(requestCodes.noCapacity, "the engine did not get ready in time");
        this.refuse({ failure: reason, target: this.context.target });
    }

    private fail({ failure: reason, ...where }: ChainFault): void {
        if (this.chart.state === "waiting" || this.chart.state === "preparing") {
            this.refuse({ failure: reason, ...where });
            return;
        }
        if (this.stop("fail", true)) {
            this.log("head: attempt failed", reason, where.target);
            this.options.sink.failed({ failure: asStarted(reason), ...where });
        }
    }

    /** Ends the attempt before any layer has run. */
    private refuse({ failure: reason, ...where }: ChainFault): void {
        const notRun = asNotRun(reason);
        if (this.stop("refuse", false)) {
            this.recordRefusal(notRun);
            this.log("head: attempt refused", notRun, where.target);
            this.options.sink.failed({ failure: notRun, ...where });
        }
    }

    private log(text: string, reason: Failure, fault: string | undefined): void {
        const { request, epoch } = this.options.message;
        this.context.log.info({ request, epoch, fault, code: reason.code.number, reason: reason.message }, text);
    }

    private recordRefusal(reason: Failure): void {
        const { request, epoch } = this.options.message;
        const { record, target } = this.context;
        record({ event: "work.refused", request, epoch, target, code: reason.code.number });
    }

    /** Ends the attempt and releases all its resources. Returns false if it had already ended. */
    private stop(event: AttemptEvent, retain: boolean): boolean {
        const waiting = this.chart.state === "waiting";
        if (!this.chart.send(event)) {
            return false;
        }
        this.decoder.stop();
        this.deadline?.cancel();
        this.readyTimer?.cancel();
        this.session?.close(retain);
        this.later?.close(retain);
        this.releaseSlot(waiting);
        this.context.metrics.attemptEnded?.(this.chart.state);
        this.span?.setAttribute("waxwingspar.state", this.chart.state);
        this.span?.end();
        this.options.ended?.(this);
        return true;
    }

    private releaseSlot(waiting: boolean): void {
        const { queue } = this.context;
        if (waiting) {
            queue.cancel(this.item);
            return;
        }
        queue.finish(this.item, this.times.elapsed);
    }
}
