/**
 * Limits retries to a share of the requests that succeed, so that retries cannot feed an overload.
 *
 * @public
 */
export interface RetryBudget {
    /** Counts a first attempt. */
    request(): void;
    /** Counts an attempt's end. */
    ended(success: boolean): void;
    /**
     * Takes a retry from the budget.
     *
     * @param kind - What the retry follows: `failed`, when work may have been done, or `refused`, when the target said
     * at once that it did not run, which costs less. Default `failed`.
     * @returns False when too little is left.
     */
    spend(kind?: "failed" | "refused"): boolean;
    /**
     * The time to wait before a retry, with jitter, in milliseconds.
     *
     * @param attempt - The number of the retry, from 1.
     */
    backoff(attempt: number): number;
}
