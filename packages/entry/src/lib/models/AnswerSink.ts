import { type Failure } from "@waxwingspar/utils";

/**
 * The end of a whole answer.
 *
 * @internal
 */
export interface AnswerEnd {
    readonly finish: "stop" | "length";
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly answerTokens: number;
}

/**
 * Where an answer goes: a stream of events, or one whole response.
 *
 * @internal
 */
export interface AnswerSink {
    /**
     * Takes the texts of the next tokens.
     *
     * @returns False while the caller is slow; the run then grants no credit until it is told to go on.
     */
    write(texts: readonly string[]): boolean;
    end(end: AnswerEnd): void;
    /** The answer cannot be completed. What was written before stays as it is. */
    fail(failure: Failure): void;
}
