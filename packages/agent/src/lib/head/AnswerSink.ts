import { type ChainFault } from "../faults.js";
import { type AnswerToken } from "./StopMatcher.js";

/**
 * How a whole answer ended.
 *
 * @internal
 */
export interface AnswerEnd {
    readonly finish: "stop" | "length";
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly answerTokens: number;
    /** Text before a stop string that belongs to the token in which the stop string begins. */
    readonly text?: string;
}

/**
 * Where the tokens of one attempt go.
 *
 * @internal
 */
export interface AnswerSink {
    /** False while the caller is so slow that no further token should be drawn. */
    readonly ready: boolean;
    token(token: AnswerToken): void;
    /** The answer is whole. Nothing follows. */
    done(end: AnswerEnd): void;
    /** The attempt ended without a whole answer. Nothing follows. */
    failed(fault: ChainFault): void;
}
