import { unknownDigest } from "../claimId.js";
import { type ReportedClaim } from "../reclaim/ClaimReport.js";
import { selectPrevailingClaims } from "../reclaim/strongestOfEach.js";
import { type ClaimRecord, runnerName } from "./ClaimRecord.js";
import { type PartitionState } from "./PartitionState.js";

/** A partition as far as it matters here. @internal */
export interface PartitionView extends Pick<PartitionState, "find" | "findArchive"> {
    /** The lowest generation of a claim that was granted since the store came back, where the store tells its era. */
    readonly firstGeneration?: number;
    readonly time: { now(): number; };
}

/** Milliseconds for which a claim is kept whose retention is not known: as long as callers may repeat a request by default. */
const defaultRetention = 86_400_000;

/**
 * Claims that the store has acknowledged and may have lost with a copy, while the partition is read anew. Those that have no other
 * in their place are written again.
 *
 * @internal
 */
export class LostClaims {
    private claims: readonly ReportedClaim[] = [];

    /** The claims that are still to be looked for. */
    get reports(): readonly ReportedClaim[] {
        return this.claims;
    }

    /** @param records - In the order in which they were written. */
    add(records: readonly ClaimRecord[]): void {
        this.addReports(records.map(record => ({ ...record, state: "granted" })));
    }

    /** Adds what processes reported. */
    addReports(reports: readonly ReportedClaim[]): void {
        this.claims = [...this.claims, ...reports];
    }

    /**
     * What is still to be written, at most so many. A record counts as written once the state holds it.
     *
     * @param state - The partition as it was read anew.
     */
    next(state: PartitionView, limit: number): readonly ClaimRecord[] {
        const lost = selectPrevailingClaims(this.claims).filter(claim => this.isLost(claim, state));
        return lost.slice(0, limit).map(claim => recordOf(claim, state.time.now()));
    }

    /** Forgets them, once the store holds what is left of them. */
    clear(): void {
        this.claims = [];
    }

    private isLost(claim: ReportedClaim, state: PartitionView): boolean {
        // The state holds no expired claim, so one that was written would look lost for ever.
        if (claim.expiry !== undefined && claim.expiry < state.time.now()) {
            return false;
        }
        const found = state.find(claim.keyHash);
        if (found === undefined) {
            // Archives are read for these keys before; one that is left holds an earlier claim of the key at most.
            return (state.findArchive(claim.keyHash)?.last ?? 0) < claim.generation;
        }
        if (nameOf(found) === nameOf(claim) || !this.predatesCopy(found, state)) {
            return false;
        }
        // Of two claims with one generation the one that is found was written in the place of the other, and never granted.
        return claim.state === "ran" || found.generation <= claim.generation;
    }

    /** Whether a claim was there before the copy was made; any other was granted since, and stands. */
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
