import { type Failure } from "@waxwingspar/utils";

/**
 * The body of every refusal and failure, in the format that clients of common model APIs expect.
 *
 * @public
 */
export interface ErrorBody {
    readonly error: {
        readonly message: string;
        /** The error type in the terms of common client libraries. */
        readonly type: string;
        /** The name of the result code. */
        readonly code: string;
        /** The number of the result code; see docs/RESULT-CODES.md. */
        readonly number: number;
        /** Whether the request ran. */
        readonly execution: string;
        /** The field at fault, as a dotted path. */
        readonly param?: string;
        /** Milliseconds until the same request may be sent again; absent if it should not be. */
        readonly retry_after_ms?: number;
    };
}

/** Milliseconds after which to retry if the failure gives no time. */
const defaultRetryAfter = 1_000;

/**
 * Milliseconds until the request may be sent again, or undefined if it should not be.
 *
 * @internal
 */
export function retryAfterOf(failure: Failure): number | undefined {
    switch (failure.code.retry) {
        case "no":
            return undefined;
        case "at once":
            return failure.retryAfter ?? 0;
        case "later":
            return failure.retryAfter ?? defaultRetryAfter;
    }
}

/** @internal */
export function errorBody(failure: Failure): ErrorBody {
    return {
        error: {
            message: failure.message,
            type: errorType(failure.code.status),
            code: failure.code.name,
            number: failure.code.number,
            execution: failure.code.execution,
            param: failure.path,
            retry_after_ms: retryAfterOf(failure),
        },
    };
}

function errorType(status: number): string {
    switch (status) {
        case 401:
            return "authentication_error";
        case 403:
            return "permission_error";
        case 404:
            return "not_found_error";
        case 429:
            return "rate_limit_error";
        default:
            return status < 500 ? "invalid_request_error" : "server_error";
    }
}
