import { type ChainFault } from "../faults.js";
import { type AnswerToken } from "./StopMatcher.js";

/**
 * How a complete answer ended, and its token counts.
 *
 * @internal
 */
export interface AnswerEnd {
    readonly finish: "stop" | "length";
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly answerTokens: number;
    /** The text before the stop string within the token that contains the start of the stop string. */
    readonly text?: string;
}

/**
 * Receives the tokens and the result of one attempt.
 *
 * @internal
 */
export interface AnswerSink {
    /** False while no further token should be sampled, because the caller reads too slowly. */
    readonly ready: boolean;
    token(token: AnswerToken): void;
    /** Reports a complete answer. It is the last call. */
    done(end: AnswerEnd): void;
    /** Reports that the attempt ended without a complete answer. It is the last call. */
    failed(fault: ChainFault): void;
}
