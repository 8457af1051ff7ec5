import { type ReplyHead } from "./messages.js";

/** What the head of a reply means for the request that was sent. */
export type ReplyVerdict =
    /** The target's own answer, a success or a failure. */
    | { readonly kind: "answer"; }
    /** The target guarantees that the request has not run and never will. */
    | { readonly kind: "refusal"; readonly reason: string; }
    /** Not an answer to the request, or one that must not reach its caller. The request may have run. */
    | { readonly kind: "unusable"; readonly reason: string; };

/**
 * Statuses that tell callers that a request has not been executed. They are forwarded only from a target that guarantees
 * it.
 */
const notExecutedStatuses = new Set([408, 421, 429, 503]);

/**
 * Judges the head of a reply to a request. A guarantee in a reply to another request says nothing about this one, and a
 * target's own status says nothing about whether the request has run.
 */
export function judgeReply(status: number, head: ReplyHead, requestId: string | undefined): ReplyVerdict {
    if (head.requestId !== undefined && head.requestId !== requestId) {
        return { kind: "unusable", reason: `reply ${status} to another request` };
    }
    if (head.neverExecuted) {
        return { kind: "refusal", reason: `refused with ${status} at ${head.faultyAddress ?? "head"}` };
    }
    if (!head.isSigned) {
        return { kind: "unusable", reason: `unsigned reply ${status}` };
    }
    return notExecutedStatuses.has(status)
        ? { kind: "unusable", reason: `status ${status} without a not-executed guarantee` }
        : { kind: "answer" };
}
