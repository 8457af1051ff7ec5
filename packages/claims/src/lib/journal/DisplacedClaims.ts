import { type ClaimRecord, runnerName } from "./ClaimRecord.js";
import { type PartitionState } from "./PartitionState.js";

/** A partition as far as it matters here. @internal */
export interface ReadPartition extends Pick<PartitionState, "find" | "hidingPlace"> {
    readonly time: { now(): number; };
}

/**
 * Claims that the store has acknowledged and may have lost with a copy, while the partition is read anew. Those that have no other
 * in their place are written again.
 *
 * @internal
 */
export class DisplacedClaims {
    private records: readonly ClaimRecord[] = [];

    /** @param records - In the order in which they were written. */
    add(records: readonly ClaimRecord[]): void {
        this.records = [...this.records, ...records];
    }

    /**
     * What is still to be written, at most so many. A record counts as written once the state holds it.
     *
     * @param state - The partition as it was read anew.
     */
    next(state: ReadPartition, most: number): readonly ClaimRecord[] {
        const newest = new Map(this.records.map(record => [record.keyHash, record]));
        const lost = [...newest.values()].filter(record => this.isLost(record, state));
        if (lost.length === 0) {
            this.records = [];
        }
        return lost.slice(0, most);
    }

    private isLost(record: ClaimRecord, state: ReadPartition): boolean {
        // The state holds no expired claim, so one that was written would look lost for ever.
        if (record.expiry < state.time.now()) {
            return false;
        }
        const found = state.find(record.keyHash);
        if (found === undefined) {
            // An archive holds no segment above its last one, so at most an earlier claim of the key.
            return (state.hidingPlace(record.keyHash)?.last ?? 0) < record.generation;
        }
        return found.generation < record.generation && this.isOfCommonPast(found);
    }

    /** Whether a claim was there before the copy was made; any other was granted since, and stands. */
    private isOfCommonPast(found: ClaimRecord): boolean {
        const oldest = Math.min(...this.records.map(({ generation }) => generation));
        return found.generation < oldest || this.records.some(record => nameOf(record) === nameOf(found));
    }
}

function nameOf({ keyHash, generation, runner }: ClaimRecord): string {
    return `${keyHash}/${generation}/${runnerName(runner)}`;
}
