import { type Result } from "true-myth";
import { type ResultCode } from "./resultCodes/ResultCode.js";

/**
 * An expected failure. It is returned in a `Result`, never thrown.
 *
 * @public
 */
export interface Failure {
    /** The result code. */
    readonly code: ResultCode;
    /** A short human-readable sentence, without secrets. */
    readonly message: string;
    /** Milliseconds after which to retry. */
    readonly retryAfter?: number;
    /** For input errors, the dotted path of the invalid field. */
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
