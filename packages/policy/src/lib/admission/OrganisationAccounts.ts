import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { TokenBucket } from "./TokenBucket.js";
import { type CompleteWorkQueueOptions } from "./WorkQueueOptions.js";

/** Milliseconds after which an organisation at its limit of concurrent items should retry. */
const inFlightRetryAfter = 500;

/**
 * The queue's state of one organisation.
 *
 * @internal
 */
export interface OrganisationAccount {
    readonly name: string;
    weight: number;
    running: number;
    queued: number;
    /** Mean time that its items hold a slot, in milliseconds; undefined until the first one has ended. */
    meanHold?: number;
    rateLimit?: TokenBucket;
    maxInFlight?: number;
}

/**
 * Tracks weights, limits and item counts of the organisations that use a target.
 *
 * @internal
 */
export class OrganisationAccounts {
    private readonly accounts = new Map<string, OrganisationAccount>();
    /** Clock time of the last item of each active organisation, least recent first. */
    private readonly lastSeen = new Map<OrganisationAccount, number>();
    private activeWeight = 0;

    constructor(private readonly options: CompleteWorkQueueOptions) {}

    get(name: string): OrganisationAccount {
        let account = this.accounts.get(name);
        if (account === undefined) {
            account = { name, weight: 1, running: 0, queued: 0 };
            this.accounts.set(name, account);
        }
        return account;
    }

    setShare(name: string, weight: number, requestsPerSecond?: number, maxInFlight?: number): void {
        const account = this.get(name);
        if (this.lastSeen.has(account)) {
            this.activeWeight += weight - account.weight;
        }
        account.weight = weight;
        account.maxInFlight = maxInFlight;
        if (account.rateLimit?.rate !== requestsPerSecond) {
            account.rateLimit = this.rateLimit(requestsPerSecond);
        }
    }

    /** Records activity of an organisation, and expires the organisations that are no longer active. */
    touch(account: OrganisationAccount): void {
        const now = this.options.clock.now();
        if (!this.lastSeen.delete(account)) {
            this.activeWeight += account.weight;
        }
        this.lastSeen.set(account, now);
        this.forgetIdle(now);
    }

    /** Checks an item against the organisation's limits, and takes a token from its rate limit if it is admitted. */
    admit(account: OrganisationAccount): Outcome<void> {
        const inFlight = account.running + account.queued;
        if (account.maxInFlight !== undefined && inFlight >= account.maxInFlight) {
            const details = { retryAfter: inFlightRetryAfter };
            return Result.err(failure(requestCodes.limitReached, "too many requests in progress", details));
        }
        if (account.rateLimit !== undefined && !account.rateLimit.take()) {
            const details = { retryAfter: account.rateLimit.wait() };
            return Result.err(failure(requestCodes.limitReached, "too many requests per second", details));
        }
        return Result.ok(undefined);
    }

    /**
     * True when the organisation runs more items than its weighted share of the slots among active organisations, plus
     * a tolerance for chance: with random arrivals even equal organisations exceed their shares at times.
     */
    isOverShare(account: OrganisationAccount, slots: number): boolean {
        const share = account.weight / this.activeWeight * slots;
        const tolerated = share + this.options.shareTolerance * Math.sqrt(share);
        return this.lastSeen.size > 1 && account.running >= tolerated;
    }

    private rateLimit(requestsPerSecond: number | undefined): TokenBucket | undefined {
        if (requestsPerSecond === undefined) {
            return undefined;
        }
        const burst = Math.max(1, requestsPerSecond * this.options.burstSeconds);
        return new TokenBucket(this.options.clock, requestsPerSecond, burst);
    }

    private forgetIdle(now: number): void {
        for (const [account, seen] of this.lastSeen) {
            if (seen + this.options.activeWindow >= now) {
                return;
            }
            this.lastSeen.delete(account);
            this.activeWeight -= account.weight;
        }
    }
}
