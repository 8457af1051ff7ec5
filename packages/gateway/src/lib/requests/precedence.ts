/**
 * Precedence of a retry, highest first. A caller that is reading an answer loses most when the answer ends. A caller
 * that has received nothing loses little and can be given a `Retry-After`.
 */
export type Precedence =
    /** The caller has received a part of the answer. */
    | "running"
    /** The caller has received nothing yet. */
    | "waiting";

/**
 * Share of the retry budget that retries of each precedence may use. The rest is reserved for streams that have begun:
 * under overload, retries of requests that full targets refused would use up the whole budget.
 */
export const budgetShare: Readonly<Record<Precedence, number>> = { running: 1, waiting: 0.6 };
