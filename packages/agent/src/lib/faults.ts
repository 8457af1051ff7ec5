import { type WireFailure } from "@waxwingspar/transport";
import { type Failure, failure, findResultCode, requestCodes, transportCodes } from "@waxwingspar/utils";

/** A failure of a chain, and the target at fault when one is known. @internal */
export interface ChainFault {
    readonly failure: Failure;
    readonly target?: string;
    /** True when that target only leaves, so that its KV cache can still be exported. */
    readonly exportable?: boolean;
}

/** Writes a failure as it travels between processes. @internal */
export function toWire(reason: Failure): WireFailure {
    const { code, message, retryAfter } = reason;
    return retryAfter === undefined ? { code: code.number, message } : { code: code.number, message, retryAfter };
}

/** Reads a failure that a message carried. A number that this version does not know says nothing, so: unknown. */
export function fromWire(wire: WireFailure): Failure {
    const code = findResultCode(wire.code) ?? requestCodes.outcomeUnknown;
    return failure(code, wire.message, wire.retryAfter === undefined ? {} : { retryAfter: wire.retryAfter });
}

/** The failure of work of which nothing has run. A code that says otherwise is replaced by one that says so. */
export function asNotRun(reason: Failure): Failure {
    if (reason.code === requestCodes.deadlineExceeded) {
        return failure(requestCodes.deadlinePassed, reason.message);
    }
    return reason.code.execution === "not run"
        ? reason
        : failure(requestCodes.noCapacity, `nothing ran: ${reason.message}`);
}

const linkCodes: readonly number[] = Object.values(transportCodes).map(code => code.number);

/** The failure of work that ran in part. A code that says that nothing ran, or speaks of links, is replaced. */
export function asStarted(reason: Failure): Failure {
    const { code, message } = reason;
    const unfit = code.execution === "not run" || linkCodes.includes(code.number);
    return unfit ? failure(requestCodes.stageLost, message) : reason;
}

/** The failure of a call to a service that does not run beside this agent. */
export function noService(service: string): Failure {
    return failure(requestCodes.wrongTarget, `${service} does not run here`);
}

/**
 * The failure of work that comes after the agent has closed.
 *
 * @param known - True when it may have run here before.
 */
export function closedFailure(known: boolean): Failure {
    return known
        ? failure(requestCodes.outcomeUnknown, "the agent has stopped")
        : failure(requestCodes.stopping, "the agent has stopped");
}
