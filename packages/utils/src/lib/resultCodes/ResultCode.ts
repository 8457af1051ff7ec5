/**
 * What is known about the execution of a request when it ends.
 *
 * - `completed`: it ran and its whole answer was delivered.
 * - `not run`: no part of it ran; a retry is safe even if it is not idempotent.
 * - `unknown`: it may have run, whole or in part.
 *
 * @public
 */
export type Execution = "completed" | "not run" | "unknown";

/**
 * One numbered result. Numbers never change their meaning; docs/RESULT-CODES.md is made from this table.
 *
 * @public
 */
export interface ResultCode {
    /** The stable number that callers and operators see. */
    readonly number: number;
    /** A short stable name in kebab case. */
    readonly name: string;
    /** What this code says about execution. */
    readonly execution: Execution;
    /** The HTTP status it is sent with. */
    readonly status: number;
    /** Whether the same request may be sent again, and when. */
    readonly retry: "no" | "at once" | "later";
    /** One sentence for the table in the docs. */
    readonly summary: string;
}
