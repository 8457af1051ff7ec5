import { type Clock, failure, type Outcome, requestCodes, type Timer } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Claim } from "../Claims.js";
import { type Batch } from "./Batch.js";
import { type Archive } from "./partitionRows.js";
import { type PartitionState } from "./PartitionState.js";
import { type PendingCall } from "./PendingCall.js";

interface Waiting {
    readonly end: (outcome: Outcome<Claim>) => void;
    readonly timer: Timer;
}

/** Calls whose claims may be in one archive. */
interface ArchiveGroup {
    readonly archive: Archive;
    readonly calls: PendingCall[];
}

/**
 * The calls that wait for a write, in order of arrival. Each fails when its timeout expires.
 *
 * @internal
 */
export class PendingCalls {
    private readonly calls = new Map<PendingCall, Waiting>();

    constructor(private readonly clock: Clock, private readonly callTimeout: number) {}

    get size(): number {
        return this.calls.size;
    }

    /** Adds a call and starts its timeout. */
    add(call: PendingCall): Promise<Outcome<Claim>> {
        return new Promise(end => {
            const timer = this.clock.schedule(() => this.end(call, timedOut()), this.callTimeout);
            this.calls.set(call, { end, timer });
        });
    }

    /** Ends a call with an outcome if it still waits. */
    end(call: PendingCall, outcome: Outcome<Claim>): void {
        const waiting = this.calls.get(call);
        if (waiting !== undefined) {
            this.calls.delete(call);
            waiting.timer.cancel();
            waiting.end(outcome);
        }
    }

    /** Ends every call that no longer needs a write. */
    answer(state: PartitionState): void {
        for (const call of this.calls.keys()) {
            const outcome = call.answer(state);
            if (outcome !== undefined) {
                this.end(call, outcome);
            }
        }
    }

    /** Adds the oldest calls to a batch. A second call with the same key waits for the outcome of the first. */
    fill(batch: Batch, limit: number): void {
        for (const call of this.calls.keys()) {
            if (batch.size >= limit) {
                return;
            }
            batch.add(call, outcome => this.end(call, outcome));
        }
    }

    /** The calls for which an archive must be read first, by archive name. */
    groupByArchive(state: PartitionState): Map<string, ArchiveGroup> {
        const groups = new Map<string, ArchiveGroup>();
        for (const call of this.calls.keys()) {
            const archive = state.findArchive(call.keyHash);
            if (archive !== undefined) {
                const group = groups.get(archive.name) ?? { archive, calls: [] };
                group.calls.push(call);
                groups.set(archive.name, group);
            }
        }
        return groups;
    }

    /** Ends every call with the same outcome. */
    endAll(outcome: Outcome<Claim>): void {
        for (const call of this.calls.keys()) {
            this.end(call, outcome);
        }
    }
}

function timedOut(): Outcome<Claim> {
    return Result.err(failure(requestCodes.claimUnavailable, "the claim was not recorded before the call timed out"));
}
