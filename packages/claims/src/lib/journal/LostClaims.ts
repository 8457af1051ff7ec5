import { unknownDigest } from "../claimId.js";
import { type ReportedClaim } from "../recovery/ClaimReport.js";
import { selectPrevailingClaims } from "../recovery/selectPrevailingClaims.js";
import { type ClaimRecord, runnerName } from "./ClaimRecord.js";
import { type PartitionState } from "./PartitionState.js";

/** The part of a partition's state that {@link LostClaims} uses. @internal */
export interface PartitionView extends Pick<PartitionState, "find" | "findArchive"> {
    /** The lowest generation granted since the store was restored; absent if the store reports no era. */
    readonly firstGeneration?: number;
    readonly time: { now(): number; };
}

/**
 * Milliseconds for which a claim of unknown retention is kept: the default time within which callers may repeat a
 * request.
 */
const defaultRetention = 86_400_000;

/**
 * Claims that the store acknowledged and may have lost when it was restored from an older copy. Once the partition has
 * been reloaded, those that are missing and have not been replaced by a newer claim are written again.
 *
 * @internal
 */
export class LostClaims {
    private claims: readonly ReportedClaim[] = [];

    /** The claims that may still be missing from the store. */
    get reports(): readonly ReportedClaim[] {
        return this.claims;
    }

    /** @param records - The claims, in the order in which they were written. */
    add(records: readonly ClaimRecord[]): void {
        this.addReports(records.map(record => ({ ...record, state: "granted" })));
    }

    /** Adds claims that processes reported. */
    addReports(reports: readonly ReportedClaim[]): void {
        this.claims = [...this.claims, ...reports];
    }

    /**
     * The next records to write again. A record counts as written once the state holds it.
     *
     * @param state - The state of the reloaded partition.
     * @param limit - The maximum number of records.
     */
    next(state: PartitionView, limit: number): readonly ClaimRecord[] {
        const lost = selectPrevailingClaims(this.claims).filter(claim => this.isLost(claim, state));
        return lost.slice(0, limit).map(claim => recordOf(claim, state.time.now()));
    }

    /** Discards the claims, once the store holds all that were lost. */
    clear(): void {
        this.claims = [];
    }

    private isLost(claim: ReportedClaim, state: PartitionView): boolean {
        // The state never returns an expired claim, so a rewritten one would appear lost forever.
        if (claim.expiry !== undefined && claim.expiry < state.time.now()) {
            return false;
        }
        const found = state.find(claim.keyHash);
        if (found === undefined) {
            // The archives of these keys have been read; one that still matches holds at most an earlier claim of the
            // key.
            return (state.findArchive(claim.keyHash)?.last ?? 0) < claim.generation;
        }
        if (nameOf(found) === nameOf(claim) || !this.predatesCopy(found, state)) {
            return false;
        }
        // If both claims have the same generation, the stored one was written in place of the lost one and never
        // granted.
        return claim.state === "ran" || found.generation <= claim.generation;
    }

    /** Whether a stored claim predates the copy. Any other claim was granted after the restore and prevails. */
    private predatesCopy(found: ClaimRecord, { firstGeneration = 0 }: PartitionView): boolean {
        if (found.generation < firstGeneration) {
            return true;
        }
        const oldest = Math.min(...this.claims.map(({ generation }) => generation));
        return found.generation < oldest || this.claims.some(claim => nameOf(claim) === nameOf(found));
    }
}

function recordOf({ keyHash, generation, runner, digest, expiry }: ReportedClaim, now: number): ClaimRecord {
    return {
        keyHash,
        generation,
        runner,
        digest: digest ?? unknownDigest,
        expiry: expiry ?? now + defaultRetention,
    };
}

function nameOf({ keyHash, generation, runner }: Pick<ClaimRecord, "keyHash" | "generation" | "runner">): string {
    return `${keyHash}/${generation}/${runnerName(runner)}`;
}
