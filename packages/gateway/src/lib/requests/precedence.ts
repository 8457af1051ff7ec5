/**
 * What a repeat of a request is worth to its caller, most first. One that reads an answer loses most when it ends; one whose request has
 * not begun loses little, and can be told when to come back.
 */
export type Precedence =
    /** Its caller has got a part of the answer. */
    | "running"
    /** Its caller has got nothing yet. */
    | "waiting";

/**
 * The part of the retry budget that repeats may use up to. The rest is kept for streams that have begun: in a rush, repeats of requests
 * that full targets turned away would leave them nothing.
 */
export const budgetShare: Readonly<Record<Precedence, number>> = { running: 1, waiting: 0.6 };
