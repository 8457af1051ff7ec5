import { type Failure, failure, transportCodes } from "@waxwingspar/utils";

/** The name of the error that aborts a call after its timeout. @internal */
export const timeoutErrorName = "EngineTimeout";

const connectErrorCodes = new Set(["UND_ERR_CONNECT_TIMEOUT", "ENOTFOUND", "EAI_AGAIN"]);

/**
 * Converts an error of the HTTP client to a failure. Only an error while opening the connection proves that nothing was
 * sent; after any other error the engine may have run the call.
 *
 * @internal
 */
export function connectionFailure(error: unknown): Failure {
    if (isConnectError(error)) {
        return failure(transportCodes.notConnected, "no connection to the engine could be opened");
    }
    if (error instanceof Error && error.name === timeoutErrorName) {
        return failure(transportCodes.requestTimeout, "the engine did not respond within the timeout");
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
    return syscall === "connect" || (code !== undefined && connectErrorCodes.has(code));
}
