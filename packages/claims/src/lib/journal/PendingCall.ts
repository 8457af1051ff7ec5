import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { decodeClaim, keyHashOf, shortHash, unknownDigest } from "../claimId.js";
import { type Claim, type ClaimRequest, type Runner } from "../Claims.js";
import { claimOf, type ClaimRecord } from "./ClaimRecord.js";
import { type PartitionState } from "./PartitionState.js";

/**
 * A call that records a claim or finds one that is recorded.
 *
 * @internal
 */
export class PendingCall {
    readonly keyHash: string;
    private readonly digest: string;

    private constructor(
        readonly request: ClaimRequest,
        /** The generation that a move replaces; undefined for {@link PendingCall.acquire}. */
        private readonly from: number | undefined,
    ) {
        this.keyHash = keyHashOf(request);
        this.digest = shortHash(request.digest);
    }

    /** Creates a call that claims a request. */
    static acquire(request: ClaimRequest): PendingCall {
        return new PendingCall(request, undefined);
    }

    /** Creates a call that moves a claim. Returns undefined if the claim belongs to another request. */
    static move(claim: Claim, request: ClaimRequest): PendingCall | undefined {
        const identity = decodeClaim(claim.id);
        const call = new PendingCall(request, identity?.generation);
        return identity?.keyHash === call.keyHash ? call : undefined;
    }

    /** The outcome according to the recorded claims, or undefined if a record must be written first. */
    answer(state: PartitionState): Outcome<Claim> | undefined {
        if (state.findArchive(this.keyHash) !== undefined) {
            return undefined;
        }
        const record = state.find(this.keyHash);
        return this.from === undefined ? this.answerAcquire(state, record) : this.answerMove(state, record, this.from);
    }

    /** The record to write for this call. */
    record(state: PartitionState, segment: number): ClaimRecord {
        const { request, keyHash, digest } = this;
        const present = state.find(keyHash);
        const expiry = Math.max(state.time.now() + request.retention, present?.expiry ?? 0);
        // Segment numbers go back when the store is restored from a copy, and a rewritten claim keeps its generation.
        const generation = Math.max(state.firstGeneration + segment, (present?.generation ?? 0) + 1);
        return { keyHash, digest, generation, runner: request.runner, expiry };
    }

    private answerAcquire(state: PartitionState, record: ClaimRecord | undefined): Outcome<Claim> | undefined {
        if (record === undefined) {
            return undefined;
        }
        return this.matchesRequest(record)
            ? Result.ok(claimOf(this.request, record, state.series, false))
            : keyReused();
    }

    private matchesRequest({ digest }: ClaimRecord): boolean {
        return digest === this.digest || digest === unknownDigest;
    }

    private answerMove(
        state: PartitionState,
        record: ClaimRecord | undefined,
        from: number,
    ): Outcome<Claim> | undefined {
        if (record === undefined) {
            return cannotMove("the claim has expired");
        }
        if (!this.matchesRequest(record)) {
            return keyReused();
        }
        if (record.generation === from) {
            return undefined;
        }
        // A retry of a move that succeeded returns the same claim.
        return record.generation > from && equalRunners(record.runner, this.request.runner)
            ? Result.ok(claimOf(this.request, record, state.series, false))
            : cannotMove("another process moved the claim first");
    }
}

function equalRunners(one: Runner, other: Runner): boolean {
    return one.target === other.target && one.incarnation === other.incarnation;
}

function keyReused(): Outcome<Claim> {
    return Result.err(failure(requestCodes.keyReused, "the key was used for a different request"));
}

function cannotMove(message: string): Outcome<Claim> {
    return Result.err(failure(requestCodes.claimUnavailable, message));
}
