import { type GuardReason } from "@waxwingspar/connections";

/**
 * Records the metrics of an entry. Each method is cheap, and none is called per token.
 *
 * @public
 */
export interface EntryMetrics {
    /**
     * Records the end of a request.
     *
     * @param route - The model or service; `none` for a request that was refused before its route was known.
     * @param code - The number of the result code, 0 for a completed request.
     * @param duration - Milliseconds since its arrival.
     * @param tokens - The tokens of the answer, 0 for plain calls.
     */
    requestEnded(route: string, code: number, duration: number, tokens: number): void;
    /** Records the milliseconds from a request's arrival until the first token of its answer was written. */
    firstToken(route: string, latency: number): void;
    /** Records a further attempt of a request, with the result code of the attempt before it. */
    retried(route: string, code: number): void;
    /**
     * Records that a stream continued after its attempt was lost.
     *
     * @param duration - Milliseconds from the detection of the loss to the next token.
     */
    recovered(route: string, duration: number): void;
    /** Records a connection that was closed, or a request that was refused unread, because of what its caller did. */
    guarded(reason: GuardReason): void;
}

/** Drops all metrics, for an entry without a collector. @internal */
export const noMetrics: EntryMetrics = {
    requestEnded: () => undefined,
    firstToken: () => undefined,
    retried: () => undefined,
    recovered: () => undefined,
    guarded: () => undefined,
};
