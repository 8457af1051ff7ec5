import { failure, requestCodes } from "@waxwingspar/utils";
import { type ChainFault } from "../faults.js";
import { type AnswerEnd, type AnswerSink } from "../head/AnswerSink.js";
import { type EntryStream } from "../head/EntryStream.js";
import { type AnswerToken } from "../head/StopMatcher.js";
import { type ClaimFollower, type ClaimRecord } from "./ClaimRecord.js";
import { type ClaimTable } from "./ClaimTable.js";

/** Approximate bytes of memory that a kept token takes in addition to its text. */
const tokenOverhead = 24;

/** The claims of model requests. @internal */
export type AnswerClaims = ClaimTable<AnswerToken, AnswerEnd>;

/** The record of one claimed model request. @internal */
export type AnswerRecord = ClaimRecord<AnswerToken, AnswerEnd>;

/**
 * Appends the answer of a claimed request to its record, which forwards it to all followers. It applies no
 * backpressure: the request runs to its end even without followers.
 *
 * @internal
 */
export class RecordSink implements AnswerSink {
    readonly ready = true;

    /** @param owner - The stream of the entry that started this attempt; only it receives the target at fault. */
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

/** Creates a follower that forwards a record to the stream of one entry. @internal */
export function toFollower(stream: EntryStream): ClaimFollower<AnswerToken, AnswerEnd> {
    return {
        item: token => stream.token(token),
        end: end => stream.done(end),
        failed: reason => stream.failed({ failure: reason }),
    };
}
