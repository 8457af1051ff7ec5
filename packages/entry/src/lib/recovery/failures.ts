import { type WireFailure } from "@waxwingspar/transport";
import { type Failure, failure, findResultCode, requestCodes, transportCodes } from "@waxwingspar/utils";

/** Result codes after which another target may succeed; any other would recur on every target, or is final. */
const retryElsewhereCodes: ReadonlySet<number> = new Set([
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

/** Whether another attempt on a different target may succeed after this failure. @internal */
export function mayRetryElsewhere(cause: Failure): boolean {
    return retryElsewhereCodes.has(cause.code.number);
}

/**
 * Converts a failure sent by an agent. An unknown code does not show whether the request ran, so it
 * becomes `outcomeUnknown`.
 *
 * @internal
 */
export function fromWire(wire: WireFailure): Failure {
    const code = findResultCode(wire.code) ?? requestCodes.outcomeUnknown;
    return failure(code, wire.message, { retryAfter: wire.retryAfter });
}

/**
 * Converts a failure for the caller: codes that are internal to the system are replaced by codes for callers.
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

/** Refusals by which a target says how long it wants no requests; the time in others is about something else. */
const restCodes: readonly Failure["code"][] = [requestCodes.noCapacity, requestCodes.overloaded, requestCodes.stopping];

/** Milliseconds for which the target that refused wants no requests from this entry; undefined if it did not say so. */
export function restAskedBy({ code, retryAfter }: Failure): number | undefined {
    return restCodes.includes(code) ? retryAfter : undefined;
}
