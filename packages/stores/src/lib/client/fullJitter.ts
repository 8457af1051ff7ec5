import { type Random } from "@waxwingspar/utils";

/**
 * Bounds of an exponential back-off.
 *
 * @public
 */
export interface BackoffBounds {
    /** The upper bound of the first wait, in milliseconds. */
    readonly base: number;
    /** The upper bound of any wait, in milliseconds. */
    readonly cap: number;
}

/**
 * Returns a wait with exponential back-off and full jitter: random between zero and the bound, so that callers that
 * failed at the same time do not retry at the same time.
 *
 * @param attempt - Failures so far, from 0 on.
 * @returns Milliseconds to wait.
 * @public
 */
export function fullJitter(random: Random, bounds: BackoffBounds, attempt: number): number {
    return random.next() * Math.min(bounds.cap, bounds.base * 2 ** Math.min(attempt, 30));
}
