import { type LinkPool } from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, requestCodes, type ResultCode, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Claim, type ClaimRequest, type Claims } from "../Claims.js";
import { type ClaimJournals } from "../journal/ClaimJournals.js";
import { claimMethodNames, claimSchema } from "./claimMethods.js";
import { type ClaimOwner, OwnerRanking } from "./OwnerRanking.js";
import { partitionOf } from "./partitionOf.js";

/**
 * Options of a {@link ClaimRouter}.
 *
 * @public
 */
export interface ClaimRouterOptions {
    /** The name of this process. */
    readonly process: string;
    /** The processes known to serve partitions. When the list changes, a new array is returned. */
    readonly owners: () => readonly ClaimOwner[];
    /** The journals of this process. */
    readonly journals: ClaimJournals;
    readonly links: LinkPool;
    readonly clock: Clock;
    /** Milliseconds to wait for one owner. Longer than a journal's call timeout, so that its response still arrives. */
    readonly attemptTimeout?: number;
    /** Milliseconds after which no further owner is tried. */
    readonly totalTimeout?: number;
    /** Maximum number of attempts per call. */
    readonly maxAttempts?: number;
    /** Milliseconds for which an owner that did not respond is tried last. */
    readonly avoidDuration?: number;
}

const defaults = {
    attemptTimeout: 1_200,
    totalTimeout: 2_500,
    maxAttempts: 3,
    avoidDuration: 2_000,
};

/** Milliseconds after which a caller may retry. */
const retryAfter = 500;

/** A call that can be made remotely, by its method and parameters, or locally. */
interface ClaimCall {
    readonly method: string;
    readonly params: unknown;
    readonly local: () => Promise<Outcome<Claim>>;
}

/** Failures after which another owner is tried. Any other response comes from the owner itself and is final. */
const unreachableCodes: ReadonlySet<ResultCode> = new Set<ResultCode>([
    transportCodes.notConnected,
    transportCodes.connectionLost,
    transportCodes.requestTimeout,
    transportCodes.noSuchMethod,
    transportCodes.peerRefused,
    transportCodes.protocolViolation,
]);

/**
 * Routes claim calls of an entry to the owner of the request's partition among the live entries. Both calls are
 * idempotent, and the store ensures that concurrent owners do not conflict, so a call with an unknown outcome is
 * retried, possibly at another owner. A refusal by the owner itself is final: another owner would use the same store
 * and would first have to read the whole partition from it.
 *
 * @public
 */
export class ClaimRouter implements Claims {
    private readonly options: Required<ClaimRouterOptions>;
    private readonly ranking: OwnerRanking;

    constructor(options: ClaimRouterOptions) {
        this.options = { ...defaults, ...options };
        this.ranking = new OwnerRanking(this.options.owners, this.options.clock);
    }

    acquire(request: ClaimRequest): Promise<Outcome<Claim>> {
        return this.call(request, {
            method: claimMethodNames.acquire,
            params: { request },
            local: () => this.options.journals.acquire(request),
        });
    }

    move(claim: Claim, request: ClaimRequest): Promise<Outcome<Claim>> {
        return this.call(request, {
            method: claimMethodNames.move,
            params: { claim, request },
            local: () => this.options.journals.move(claim, request),
        });
    }

    /**
     * Loads the partitions that this process now owns and unloads those that it need not keep. Call it when the list of
     * owners changes, so that the first claims of a partition need not wait for the load.
     */
    async maintain(): Promise<void> {
        const { journals, process } = this.options;
        const kept = new Set<number>();
        for (let partition = 0; partition < journals.partitions; partition++) {
            const rank = this.ranking.rank(partition).findIndex(owner => owner.process === process);
            if (rank === 0) {
                await journals.load(partition);
            }
            if (rank === 0 || rank === 1) {
                kept.add(partition);
            }
        }
        journals.keepOnly(kept);
    }

    private async call(request: ClaimRequest, call: ClaimCall): Promise<Outcome<Claim>> {
        const { journals, clock, totalTimeout, maxAttempts, avoidDuration } = this.options;
        const deadline = clock.now() + totalTimeout;
        const owners = this.ranking.rank(partitionOf(request, journals.partitions));
        if (owners.length === 0) {
            return call.local();
        }
        for (let attempt = 0; attempt < maxAttempts && clock.now() < deadline; attempt++) {
            const owner = owners[attempt % owners.length];
            const outcome = owner === undefined ? unreachable() : await this.ask(owner, call, deadline);
            if (outcome.isOk || !unreachableCodes.has(outcome.error.code)) {
                return outcome;
            }
            if (owner !== undefined) {
                this.ranking.avoid(owner.process, avoidDuration);
            }
        }
        return unreachable();
    }

    private async ask(owner: ClaimOwner, call: ClaimCall, deadline: number): Promise<Outcome<Claim>> {
        const { process, links, clock, attemptTimeout } = this.options;
        if (owner.process === process) {
            return call.local();
        }
        const link = await links.connect(owner.address);
        if (link.isErr) {
            return Result.err(link.error);
        }
        const timeout = Math.min(attemptTimeout, deadline - clock.now());
        if (timeout <= 0) {
            return unreachable();
        }
        const answer = await link.value.request(call.method, call.params, timeout);
        return answer.andThen(readClaim);
    }
}

function readClaim(value: unknown): Outcome<Claim> {
    const parsed = claimSchema.safeParse(value);
    return parsed.success
        ? Result.ok(parsed.data)
        : Result.err(failure(transportCodes.protocolViolation, "the response does not fit the claim schema"));
}

function unreachable(): Outcome<Claim> {
    return Result.err(
        failure(requestCodes.claimUnavailable, "no owner of the key's partition can be reached", { retryAfter }),
    );
}
