import { type Failure } from "@waxwingspar/utils";

/**
 * The end of a complete answer.
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
 * The destination of an answer: a stream of events, or a single response.
 *
 * @internal
 */
export interface AnswerSink {
    /**
     * Writes the texts of the next tokens.
     *
     * @returns False while the caller is slow; the run then grants no credit until it is resumed.
     */
    write(texts: readonly string[]): boolean;
    end(end: AnswerEnd): void;
    /** Ends an answer that cannot be completed. Text written before is not withdrawn. */
    fail(failure: Failure): void;
}
