import { type WireFailure } from "@waxwingspar/transport";
import { type Failure, failure, findResultCode, requestCodes, transportCodes } from "@waxwingspar/utils";

/** A failure of a chain, and the target at fault when one is known. @internal */
export interface ChainFault {
    readonly failure: Failure;
    readonly target?: string;
    /** True if that target is only leaving, so that its KV cache can still be exported. */
    readonly exportable?: boolean;
}

/** Converts a failure to its wire format. @internal */
export function toWire(reason: Failure): WireFailure {
    const { code, message, retryAfter } = reason;
    return retryAfter === undefined ? { code: code.number, message } : { code: code.number, message, retryAfter };
}

/** Converts a failure from its wire format. A code that this version does not know becomes `outcomeUnknown`. */
export function fromWire(wire: WireFailure): Failure {
    const code = findResultCode(wire.code) ?? requestCodes.outcomeUnknown;
    return failure(code, wire.message, wire.retryAfter === undefined ? {} : { retryAfter: wire.retryAfter });
}

/** Returns the failure of a request of which nothing has run. A code with another meaning is replaced. */
export function asNotRun(reason: Failure): Failure {
    if (reason.code === requestCodes.deadlineExceeded) {
        return failure(requestCodes.deadlinePassed, reason.message);
    }
    return reason.code.execution === "not run"
        ? reason
        : failure(requestCodes.noCapacity, `nothing ran: ${reason.message}`);
}

const linkCodes: readonly number[] = Object.values(transportCodes).map(code => code.number);

/** Returns the failure of a request that ran partially. A code that means "not run" or concerns links is replaced. */
export function asStarted(reason: Failure): Failure {
    const { code, message } = reason;
    const unfit = code.execution === "not run" || linkCodes.includes(code.number);
    return unfit ? failure(requestCodes.stageLost, message) : reason;
}

/** Returns the failure of a call to a service that this agent does not proxy. */
export function noService(service: string): Failure {
    return failure(requestCodes.wrongTarget, `${service} does not run here`);
}

/**
 * Returns the failure of a request that arrives after the agent has closed.
 *
 * @param known - True if the request may have run here before.
 */
export function closedFailure(known: boolean): Failure {
    return known
        ? failure(requestCodes.outcomeUnknown, "the agent has stopped")
        : failure(requestCodes.stopping, "the agent has stopped");
}
