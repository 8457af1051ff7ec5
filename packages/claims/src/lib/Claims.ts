import { type Outcome } from "@waxwingspar/utils";

/**
 * The one process start that may run a request: its agent's target and incarnation.
 *
 * @public
 */
export interface Runner {
    readonly target: string;
    /** The incarnation of the agent; a restarted agent is another runner. */
    readonly incarnation: string;
}

/**
 * A request that must run at most once.
 *
 * @public
 */
export interface ClaimRequest {
    /** The service or model. Keys of different routes, and of different organisations, never meet. */
    readonly route: string;
    readonly organisation: string;
    /** The caller's idempotency key. */
    readonly key: string;
    /** A digest of what is asked, to tell a duplicate from another request under the same key. */
    readonly digest: string;
    /** Who is to run it if nobody has claimed the key yet. */
    readonly runner: Runner;
    /** How long the claim must be remembered, in milliseconds. */
    readonly retention: number;
}

/**
 * A claim that has been recorded. Only `runner` may run the request, and its memory tells repeats.
 *
 * @public
 */
export interface Claim {
    /** Identifies the claim to the agent: the same for every duplicate of one request. */
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
     * @returns The claim; `keyReused` if the key stands for another request; `claimUnavailable` if nothing was
     * recorded or that cannot be told, in which case the request must not run.
     */
    acquire(request: ClaimRequest): Promise<Outcome<Claim>>;
    /**
     * Moves a claim to another runner. Allowed only after its runner has refused it as not run and promised never to
     * run it.
     *
     * @returns The new claim; `claimUnavailable` when another process moved it first or nothing could be recorded.
     */
    move(claim: Claim, request: ClaimRequest): Promise<Outcome<Claim>>;
}
