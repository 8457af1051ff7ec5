/**
 * What is known about the execution of a request when it ends.
 *
 * - `completed`: it ran, and its whole answer was delivered.
 * - `not run`: no part of it ran; a retry is safe even if it is not idempotent.
 * - `unknown`: it may have run, completely or in part.
 *
 * @public
 */
export type Execution = "completed" | "not run" | "unknown";

/**
 * A numbered result. Numbers never change their meaning; docs/RESULT-CODES.md is generated from these tables.
 *
 * @public
 */
export interface ResultCode {
    /** The stable number that callers and operators see. */
    readonly number: number;
    /** A short stable name in kebab case. */
    readonly name: string;
    /** Whether a request that ends with this code was executed. */
    readonly execution: Execution;
    /** The HTTP status it is sent with. */
    readonly status: number;
    /** Whether the same request may be sent again, and when. */
    readonly retry: "no" | "at once" | "later";
    /** One sentence that explains the code, for docs/RESULT-CODES.md and error messages. */
    readonly summary: string;
}
