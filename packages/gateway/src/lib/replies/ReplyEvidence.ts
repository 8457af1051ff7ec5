import { type Target } from "../directory/Target.js";
import { type ReplyHead } from "../requests/messages.js";

/** The head of a reply, with the request that it answers. */
export interface ReplyEvidence {
    /** The target that the request was sent to. */
    readonly target: Target;
    readonly status: number;
    /** The target of the chain behind `target` that a refusal is about, if it is another one. */
    readonly faultyTarget?: Target;
    readonly head: ReplyHead;
    readonly requestId: string | undefined;
    /** When the request was sent, on the clock. */
    readonly sentAt: number;
}

/** HTTP status of a process that is not the addressed target. */
const misdirectedStatus = 421;

/** Whether a reply comes from the target itself: addresses are reused, and a faulty target repeats old replies. */
export function isByTarget({ head, requestId, status }: ReplyEvidence): boolean {
    const isToRequest = head.requestId === undefined || head.requestId === requestId;
    const isMisdirected = status === misdirectedStatus && head.faultyAddress === undefined;
    return isToRequest && !isMisdirected && (head.isSigned || head.neverExecuted);
}
