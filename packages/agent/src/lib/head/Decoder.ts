import { failure, requestCodes } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { type ChainFault } from "../faults.js";
import { type Timeouts } from "../modelLimits.js";
import { type SampledToken, type StageWork } from "../stage/StageRunner.js";
import { type AnswerSink } from "./AnswerSink.js";
import { type Member } from "./LaterStages.js";
import { StopMatcher } from "./StopMatcher.js";
import { type TokenTimes } from "./TokenTimes.js";
import { TokenWait } from "./TokenWait.js";

/** @internal */
export interface DecoderOptions {
    readonly context: AgentContext;
    readonly request: string;
    readonly epoch: number;
    readonly timeouts: Timeouts;
    readonly times: TokenTimes;
    readonly sink: AnswerSink;
    readonly stop: readonly string[];
    /** Tokens of the answer, over all attempts, after which it ends. */
    readonly maxTokens: number;
    /** Tokens of the answer that earlier attempts have produced. */
    readonly produced: number;
    /** Positions of the sequence after which the answer ends. */
    readonly contextTokens: number;
    /** The later stages. */
    readonly members: () => readonly Member[];
    /** Positions that the head's own stage has passed on. */
    readonly ownPassed: () => number;
    /** Runs positions at the head's own stage. */
    readonly submit: (work: StageWork) => void;
    /** @param rest - Text that goes before a stop string without a token. */
    readonly finished: (finish: "stop" | "length", rest: string) => void;
    readonly failed: (fault: ChainFault) => void;
}

/**
 * Runs the prompt and then token after token, in their order. It is the only place that decides which token stands at
 * which position.
 *
 * @internal
 */
export class Decoder {
    /** Tokens of the answer over all attempts. */
    answerTokens: number;
    private readonly stops: StopMatcher;
    private readonly wait: TokenWait;
    /** The position in the sequence that the next token takes. */
    private next = 0;
    /** A token that is drawn and whose successor waits for a slow caller. */
    private paused: number | undefined;
    private stopped = false;

    constructor(private readonly options: DecoderOptions) {
        const { context, timeouts, request, epoch, ownPassed, members, failed } = options;
        this.answerTokens = options.produced;
        this.stops = new StopMatcher(options.stop);
        this.wait = new TokenWait({ context, timeouts, request, epoch, ownPassed, members, lost: failed });
    }

    /**
     * Runs the known tokens and draws the first new one.
     *
     * @param tokens - The prompt, and what earlier attempts produced.
     * @param start - Leading positions that every stage holds already.
     */
    start(tokens: readonly number[], start: number): void {
        const { prefillChunk } = this.options.context.settings;
        this.next = tokens.length;
        this.wait.expect(tokens.length, tokens.length - start);
        for (let position = start; position < tokens.length; position += prefillChunk) {
            const chunk = tokens.slice(position, position + prefillChunk);
            const prefill = position + chunk.length < tokens.length;
            this.options.submit({ position, count: chunk.length, tokens: chunk, prefill });
        }
    }

    /** The caller takes tokens again. */
    resume(): void {
        const token = this.paused;
        if (token !== undefined && !this.stopped) {
            this.paused = undefined;
            this.options.times.resume();
            this.draw(token);
        }
    }

    /** A token was drawn, here or at the last stage. */
    sampled({ position, token, text, end }: SampledToken): void {
        if (this.stopped || position < this.next || !this.wait.waiting) {
            this.options.context.metrics.dropped?.("sampled");
            return;
        }
        if (position > this.next) {
            const message = `a token for position ${position} came before that for ${this.next}`;
            this.options.failed({ failure: failure(requestCodes.stageLost, message) });
            return;
        }
        this.wait.clear();
        this.options.times.token();
        this.next++;
        this.answerTokens++;
        const { released, stopped, rest } = this.stops.push({ id: token, text });
        released.forEach(answer => this.options.sink.token(answer));
        this.goOn(token, end || stopped, rest);
    }

    /** Ends the run. */
    stop(): void {
        this.stopped = true;
        this.wait.stop();
    }

    private goOn(token: number, stopped: boolean, rest: string): void {
        const { maxTokens, contextTokens, sink } = this.options;
        if (stopped) {
            this.finish("stop", rest);
            return;
        }
        if (this.answerTokens >= maxTokens || this.next >= contextTokens) {
            this.finish("length", rest);
            return;
        }
        if (!sink.ready) {
            this.paused = token;
            return;
        }
        this.draw(token);
    }

    /** Runs the token at the last position, which draws the next one. */
    private draw(token: number): void {
        this.wait.expect(this.next, 1);
        this.options.submit({ position: this.next - 1, count: 1, tokens: [token], prefill: false });
    }

    private finish(finish: "stop" | "length", rest: string): void {
        this.stops.flush().forEach(token => this.options.sink.token(token));
        this.options.finished(finish, rest);
    }
}
