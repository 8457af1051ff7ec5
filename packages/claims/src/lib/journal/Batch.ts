import { type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Claim } from "../Claims.js";
import { claimOf, type ClaimRecord } from "./ClaimRecord.js";
import { type PartitionState } from "./PartitionState.js";
import { type PendingCall } from "./PendingCall.js";

interface Member {
    readonly call: PendingCall;
    readonly end: (outcome: Outcome<Claim>) => void;
}

/**
 * Calls that share one write.
 *
 * @internal
 */
export class Batch {
    private readonly members = new Map<string, Member>();
    private readonly list: ClaimRecord[] = [];

    constructor(
        readonly writeId: string,
        private readonly state: PartitionState,
        private readonly segment: number,
    ) {}

    get size(): number {
        return this.list.length;
    }

    /** The records to write. */
    get records(): readonly ClaimRecord[] {
        return this.list;
    }

    /** Adds a call, unless it needs no write, its key is in the batch already, or an archive must be read first. */
    add(call: PendingCall, end: (outcome: Outcome<Claim>) => void): void {
        const mustWait = this.members.has(call.keyHash) || this.state.findArchive(call.keyHash) !== undefined;
        if (mustWait || call.answer(this.state) !== undefined) {
            return;
        }
        this.members.set(call.keyHash, { call, end });
        this.list.push(call.record(this.state, this.segment));
    }

    /** Grants every claim, once the batch has been written. */
    grant(): void {
        for (const record of this.list) {
            const member = this.members.get(record.keyHash);
            member?.end(Result.ok(claimOf(member.call.request, record, this.state.series, true)));
        }
    }
}
