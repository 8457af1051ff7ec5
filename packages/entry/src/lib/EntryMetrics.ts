/**
 * Takes the figures of an entry. Every function is cheap; none is called per token.
 *
 * @public
 */
export interface EntryMetrics {
    /**
     * A request ended.
     *
     * @param route - The model or service; `none` for a request that was refused before it had one.
     * @param code - The number of the result code, 0 for a completed request.
     * @param duration - Milliseconds since its arrival.
     * @param tokens - The tokens of the answer, 0 for plain calls.
     */
    requestEnded(route: string, code: number, duration: number, tokens: number): void;
    /** The first token of an answer was written, so many milliseconds after the request's arrival. */
    firstToken(route: string, latency: number): void;
    /** A further attempt of a request began, because the one before ended with this result code. */
    retried(route: string, code: number): void;
    /**
     * A stream went on after a loss.
     *
     * @param duration - Milliseconds from noticing the loss to the next token.
     */
    recovered(route: string, duration: number): void;
}

/** Metrics that are dropped, for an entry without a collector. @internal */
export const noMetrics: EntryMetrics = {
    requestEnded: () => undefined,
    firstToken: () => undefined,
    retried: () => undefined,
    recovered: () => undefined,
};
