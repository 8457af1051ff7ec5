import { type Random } from "@waxwingspar/utils";

/**
 * Bounds of a backoff.
 *
 * @public
 */
export interface BackoffBounds {
    /** The longest first wait, in milliseconds. */
    readonly base: number;
    /** The longest wait of all, in milliseconds. */
    readonly cap: number;
}

/**
 * A wait with exponential backoff and full jitter: any length from zero to the bound, so that callers which failed
 * together do not come back together.
 *
 * @param attempt - Failures so far, from 0 on.
 * @returns Milliseconds to wait.
 * @public
 */
export function fullJitter(random: Random, bounds: BackoffBounds, attempt: number): number {
    return random.next() * Math.min(bounds.cap, bounds.base * 2 ** Math.min(attempt, 30));
}
