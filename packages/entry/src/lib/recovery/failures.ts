import { type WireFailure } from "@waxwingspar/transport";
import { type Failure, failure, findResultCode, requestCodes, transportCodes } from "@waxwingspar/utils";

/** Codes after which another target may do better. All others are the same everywhere, or final by their meaning. */
const elsewhere: ReadonlySet<number> = new Set([
    requestCodes.overloaded.number,
    requestCodes.noCapacity.number,
    requestCodes.stopping.number,
    requestCodes.wrongTarget.number,
    requestCodes.stageLost.number,
    requestCodes.engineFailed.number,
    requestCodes.outcomeUnknown.number,
    transportCodes.notConnected.number,
    transportCodes.connectionLost.number,
    transportCodes.requestTimeout.number,
    transportCodes.protocolViolation.number,
]);

/** Whether a further attempt on another target makes sense after this failure. @internal */
export function mayGoElsewhere(cause: Failure): boolean {
    return elsewhere.has(cause.code.number);
}

/** Reads a failure that an agent sent. A number that this version does not know says nothing about execution. @internal */
export function fromWire(wire: WireFailure): Failure {
    const code = findResultCode(wire.code) ?? requestCodes.outcomeUnknown;
    return failure(code, wire.message, { retryAfter: wire.retryAfter });
}

/**
 * The failure as a caller sees it: codes between the system's own processes are put into callers' terms.
 *
 * @param lost - The code for a request that may have run.
 * @internal
 */
export function forCaller(cause: Failure, lost: Failure["code"]): Failure {
    if (cause.code.number < 3000) {
        return cause;
    }
    const code = cause.code.execution === "not run" ? requestCodes.noCapacity : lost;
    return { ...cause, code };
}
