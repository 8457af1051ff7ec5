import { type Outcome } from "@waxwingspar/utils";

/**
 * The only process that may run a claimed request, identified by its target and incarnation.
 *
 * @public
 */
export interface Runner {
    readonly target: string;
    /** Identifies one run of the agent process. A restarted agent is a different runner. */
    readonly incarnation: string;
}

/**
 * A request that must run at most once.
 *
 * @public
 */
export interface ClaimRequest {
    /** The service or model. Idempotency keys are scoped to a route and an organisation. */
    readonly route: string;
    readonly organisation: string;
    /** The caller's idempotency key. */
    readonly key: string;
    /** A digest of the request, which distinguishes a duplicate from a different request with the same key. */
    readonly digest: string;
    /** The runner to record if the key has not been claimed yet. */
    readonly runner: Runner;
    /** Milliseconds for which the claim must be kept. */
    readonly retention: number;
}

/**
 * A recorded claim. Only `runner` may run the request; it recognises repeats by the claim's id.
 *
 * @public
 */
export interface Claim {
    /** Identifies the claim to the agent. All duplicates of one request get the same id. */
    readonly id: string;
    readonly runner: Runner;
    /** True for the call that recorded the claim, false for a duplicate that found it. */
    readonly created: boolean;
}

/**
 * Records claims.
 *
 * @public
 */
export interface Claims {
    /**
     * Claims a request, or finds the claim of its earlier duplicate.
     *
     * @returns The claim; `keyReused` if the key was used for a different request; `claimUnavailable` if no claim was
     * recorded or the outcome is unknown, in which case the request must not run.
     */
    acquire(request: ClaimRequest): Promise<Outcome<Claim>>;
    /**
     * Moves a claim to another runner. Allowed only after the current runner has reported that it has not run the
     * request and never will.
     *
     * @returns The new claim; `claimUnavailable` if another process moved it first or the move could not be recorded.
     */
    move(claim: Claim, request: ClaimRequest): Promise<Outcome<Claim>>;
}
