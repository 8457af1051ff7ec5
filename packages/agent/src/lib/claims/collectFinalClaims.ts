import { type FinalClaim, type FinalClaims, type Runner, type StoredReply } from "@waxwingspar/claims";
import { type CallClaims, type CallRecord } from "../service/CallSink.js";
import { type AnswerClaims } from "./AnswerRecord.js";

/** @internal */
export interface FinalClaimsInput {
    readonly runner: Runner;
    readonly calls: CallClaims;
    readonly answers: AnswerClaims;
    /** Maximum bytes of answers that are included. */
    readonly bytes: number;
    /** Wall-clock time in milliseconds after which the result is no longer needed. */
    readonly until: number;
}

/**
 * Collects the final state of all claims of an agent that can run nothing more. Answers of plain calls are included,
 * newest first, up to the limit; those of models are not.
 *
 * @internal
 */
export function collectFinalClaims({ runner, calls, answers, bytes, until }: FinalClaimsInput): FinalClaims {
    let room = bytes;
    const callEnds = calls.listOutcomes().map(({ record, end }): FinalClaim => {
        const reply = record.state === "ended" ? replyOf(record) : undefined;
        const size = reply === undefined ? 0 : JSON.stringify(reply).length;
        if (reply === undefined || size > room) {
            return { claim: record.id, end };
        }
        room -= size;
        return { claim: record.id, end, reply };
    });
    const answerEnds = answers.listOutcomes().map(({ record, end }): FinalClaim => ({ claim: record.id, end }));
    return {
        version: 1,
        ...runner,
        until,
        forgotten: mergeForgotten([...calls.forgottenClaims, ...answers.forgottenClaims]),
        claims: [...callEnds, ...answerEnds],
    };
}

function replyOf({ items }: CallRecord): StoredReply | undefined {
    const head = items.find(item => item.kind === "head");
    if (head === undefined) {
        return undefined;
    }
    const pieces = items.flatMap(item => item.kind === "body" ? [item.data] : []);
    return { status: head.status, headers: head.headers, body: Buffer.concat(pieces).toString("base64") };
}

function mergeForgotten(entries: readonly [string, number][]): [string, number][] {
    const highest = new Map<string, number>();
    entries.forEach(([series, generation]) => highest.set(series, Math.max(generation, highest.get(series) ?? 0)));
    return [...highest];
}
