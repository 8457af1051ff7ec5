import { failure, requestCodes } from "@waxwingspar/utils";
import { type ChainFault } from "../faults.js";
import { type AnswerEnd, type AnswerSink } from "../head/AnswerSink.js";
import { type EntryStream } from "../head/EntryStream.js";
import { type AnswerToken } from "../head/StopMatcher.js";
import { type ClaimFollower, type ClaimRecord } from "./ClaimRecord.js";
import { type ClaimTable } from "./ClaimTable.js";

/** Bytes that a kept token takes besides its text, about. */
const tokenOverhead = 24;

/** The claims of model requests. @internal */
export type AnswerClaims = ClaimTable<AnswerToken, AnswerEnd>;

/** The record of one claimed model request. @internal */
export type AnswerRecord = ClaimRecord<AnswerToken, AnswerEnd>;

/**
 * Writes the answer of a claimed request into its record, from where it reaches everyone who asked. It never asks the
 * run to wait: the run goes to its end whether or not anybody listens.
 *
 * @internal
 */
export class RecordSink implements AnswerSink {
    readonly ready = true;

    /** @param owner - The stream of the entry that started this attempt; it alone learns which target is at fault. */
    constructor(
        private readonly claims: AnswerClaims,
        private readonly record: AnswerRecord,
        private readonly owner: EntryStream,
    ) {}

    token(token: AnswerToken): void {
        this.record.append(token, tokenOverhead + token.text.length);
    }

    done(end: AnswerEnd): void {
        this.claims.ended(this.record, end);
    }

    failed(fault: ChainFault): void {
        this.owner.failed(fault);
        const { failure: reason } = fault;
        const started = reason.code.execution !== "not run" || this.record.items.length > 0 || this.record.resumed;
        if (started) {
            this.claims.interrupted(this.record, failure(requestCodes.inProgress, reason.message));
        }
        else {
            this.claims.refused(this.record, reason);
        }
    }
}

/** Passes a record on to the stream of one entry. @internal */
export function followWith(stream: EntryStream): ClaimFollower<AnswerToken, AnswerEnd> {
    return {
        item: token => stream.token(token),
        end: end => stream.done(end),
        failed: reason => stream.failed({ failure: reason }),
    };
}
