import { failure, requestCodes } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { type ChainFault } from "../faults.js";
import { type Timeouts } from "../modelLimits.js";
import { type SampledToken, type StageWork } from "../stage/StageRunner.js";
import { type AnswerSink } from "./AnswerSink.js";
import { type LaterStage } from "./LaterStages.js";
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
    /** Maximum number of tokens in the answer, over all attempts. */
    readonly maxTokens: number;
    /** Number of answer tokens that earlier attempts produced. */
    readonly produced: number;
    /** Maximum length of the sequence, prompt included, in tokens. */
    readonly contextTokens: number;
    /** The later stages. */
    readonly members: () => readonly LaterStage[];
    /** Number of positions that the head's own stage has completed and forwarded. */
    readonly ownPassed: () => number;
    /** Runs positions at the head's own stage. */
    readonly submit: (work: StageWork) => void;
    /** @param rest - The text before a stop string that belongs to no released token. */
    readonly finished: (finish: "stop" | "length", rest: string) => void;
    readonly failed: (fault: ChainFault) => void;
}

/**
 * Runs the prefill and then decodes token by token, in order. It alone decides which token is at which position.
 *
 * @internal
 */
export class Decoder {
    /** Number of answer tokens over all attempts. */
    answerTokens: number;
    private readonly stopMatcher: StopMatcher;
    private readonly wait: TokenWait;
    /** The position of the next token in the sequence. */
    private next = 0;
    /** The last sampled token while decoding is paused for a slow caller. */
    private paused: number | undefined;
    private stopped = false;

    constructor(private readonly options: DecoderOptions) {
        const { context, timeouts, request, epoch, ownPassed, members, failed } = options;
        this.answerTokens = options.produced;
        this.stopMatcher = new StopMatcher(options.stop);
        this.wait = new TokenWait({ context, timeouts, request, epoch, ownPassed, members, lost: failed });
    }

    /**
     * Runs the known tokens and samples the first new one.
     *
     * @param tokens - The tokens of the prompt and those that earlier attempts produced.
     * @param start - Number of leading positions that are cached at every stage.
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

    /** Continues decoding once the caller accepts tokens again. */
    resume(): void {
        const token = this.paused;
        if (token !== undefined && !this.stopped) {
            this.paused = undefined;
            this.options.times.resume();
            this.runToken(token);
        }
    }

    /** Handles a token that was sampled here or at the last stage. */
    sampled({ position, token, text, end }: SampledToken): void {
        if (this.stopped || position < this.next || !this.wait.waiting) {
            this.options.context.metrics.dropped?.("sampled");
            return;
        }
        if (position > this.next) {
            const message = `received a token for position ${position}, expected position ${this.next}`;
            this.options.failed({ failure: failure(requestCodes.stageLost, message) });
            return;
        }
        this.wait.clear();
        this.options.times.token();
        this.next++;
        this.answerTokens++;
        const { released, stopped, rest } = this.stopMatcher.push({ id: token, text });
        released.forEach(answer => this.options.sink.token(answer));
        this.advance(token, end || stopped, rest);
    }

    stop(): void {
        this.stopped = true;
        this.wait.stop();
    }

    private advance(token: number, stopped: boolean, rest: string): void {
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
        this.runToken(token);
    }

    /** Runs a token through the chain, which samples the next one. */
    private runToken(token: number): void {
        this.wait.expect(this.next, 1);
        this.options.submit({ position: this.next - 1, count: 1, tokens: [token], prefill: false });
    }

    private finish(finish: "stop" | "length", rest: string): void {
        this.stopMatcher.flush().forEach(token => this.options.sink.token(token));
        this.options.finished(finish, rest);
    }
}
