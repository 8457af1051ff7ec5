/**
 * Limits retries to a share of the successful requests, so that retries cannot sustain an overload.
 *
 * @public
 */
export interface RetryBudget {
    /** Records the first attempt of a request. */
    request(): void;
    /** Records the end of an attempt. */
    ended(success: boolean): void;
    /**
     * Takes the cost of one retry from the budget.
     *
     * @param kind - The outcome of the previous attempt: `failed` when work may have been done, or `refused` when the
     * target refused the request without running it, which costs less. Default `failed`.
     * @returns False when the budget is too low.
     */
    spend(kind?: "failed" | "refused"): boolean;
    /**
     * Returns the back-off delay before a retry, with jitter, in milliseconds.
     *
     * @param attempt - The number of the retry, from 1.
     */
    backoff(attempt: number): number;
}
