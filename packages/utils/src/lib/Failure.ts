import { type Result } from "true-myth";
import { type ResultCode } from "./resultCodes/ResultCode.js";

/**
 * An expected failure. It travels in a `Result`, never as an exception.
 *
 * @public
 */
export interface Failure {
    /** The numbered result. */
    readonly code: ResultCode;
    /** A short sentence for people. It holds no secrets. */
    readonly message: string;
    /** When to come back, in milliseconds from now. */
    readonly retryAfter?: number;
    /** The field at fault, as a dotted path, for input errors. */
    readonly path?: string;
}

/**
 * The outcome of an operation that may fail in an expected way.
 *
 * @public
 */
export type Outcome<T> = Result<T, Failure>;

/**
 * Creates a failure.
 *
 * @example
 * ```ts
 * return Result.err(failure(requestCodes.overloaded, "queue is full", { retryAfter: 500 }));
 * ```
 * @public
 */
export function failure(
    code: ResultCode,
    message: string,
    details: Pick<Failure, "retryAfter" | "path"> = {},
): Failure {
    return { code, message, ...details };
}
