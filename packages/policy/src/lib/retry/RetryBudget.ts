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
    /** Takes one retry from the budget; false when there is none left. */
    spend(): boolean;
    /**
     * The time to wait before a retry, with jitter, in milliseconds.
     *
     * @param attempt - The number of the retry, from 1.
     */
    backoff(attempt: number): number;
}
