import { type Failure, failure, transportCodes } from "@waxwingspar/utils";

/** The name of the error with which the adapter aborts a call that takes too long. @internal */
export const timeoutErrorName = "EngineTimeout";

const connectCodes = new Set(["UND_ERR_CONNECT_TIMEOUT", "ENOTFOUND", "EAI_AGAIN"]);

/**
 * Tells from an error of the HTTP client what is known about the call. Only an error of opening the connection proves
 * that nothing was sent; after any other the engine may have done the work.
 *
 * @internal
 */
export function connectionFailure(error: unknown): Failure {
    if (isConnectError(error)) {
        return failure(transportCodes.notConnected, "no connection to the engine could be opened");
    }
    if (error instanceof Error && error.name === timeoutErrorName) {
        return failure(transportCodes.requestTimeout, "the engine did not answer in time");
    }
    return failure(transportCodes.connectionLost, "the connection to the engine was lost");
}

function isConnectError(error: unknown): boolean {
    if (error instanceof AggregateError) {
        return error.errors.length > 0 && error.errors.every(isConnectError);
    }
    if (!(error instanceof Error)) {
        return false;
    }
    const { code, syscall } = error as NodeJS.ErrnoException;
    return syscall === "connect" || (code !== undefined && connectCodes.has(code));
}
