import { type Clock, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type EntryPart, type LimitSpec, type OrganisationLimits } from "./OrganisationLimits.js";
import { TokenBucket } from "./TokenBucket.js";

/**
 * Options of {@link createOrganisationLimits}.
 *
 * @public
 */
export interface OrganisationLimitsOptions {
    readonly clock: Clock;
    /** Returns this entry's position; called at each request to follow the live entries. Default: the only entry. */
    readonly part?: () => EntryPart;
    /** The burst allowed, in seconds of this entry's share of the rate. Default 1. */
    readonly burstSeconds?: number;
    /**
     * The minimum burst in requests, however small this entry's share is. It is capped at the burst of the whole limit,
     * and at least one. Without it, random arrivals below the limit would be refused. Default 4.
     */
    readonly minBurst?: number;
    /** The retry delay returned when too many requests are in flight, in milliseconds. Default 1000. */
    readonly inFlightRetry?: number;
}

interface Account {
    inFlight: number;
    bucket: TokenBucket | undefined;
}

/** The number of accounts at which idle ones are first removed. */
const firstSweep = 1024;

class EntryLimits implements OrganisationLimits {
    private readonly accounts = new Map<string, Account>();
    private nextSweep = firstSweep;

    constructor(private readonly options: Required<OrganisationLimitsOptions>) {}

    admit(organisation: string, spec: LimitSpec): Outcome<() => void> {
        const account = this.accountOf(organisation);
        const part = this.options.part();
        this.updateRate(account, spec.requestsPerSecond, part);
        if (spec.maxInFlight !== undefined && account.inFlight >= integerShare(organisation, spec.maxInFlight, part)) {
            const details = { retryAfter: this.options.inFlightRetry };
            return Result.err(failure(requestCodes.limitReached, "too many requests in progress", details));
        }
        if (account.bucket?.take() === false) {
            const details = { retryAfter: Math.ceil(account.bucket.wait()) };
            return Result.err(failure(requestCodes.limitReached, "too many requests per second", details));
        }
        return Result.ok(countIn(account));
    }

    private accountOf(organisation: string): Account {
        const known = this.accounts.get(organisation);
        if (known !== undefined) {
            return known;
        }
        if (this.accounts.size >= this.nextSweep) {
            this.sweep();
        }
        const account: Account = { inFlight: 0, bucket: undefined };
        this.accounts.set(organisation, account);
        return account;
    }

    private updateRate(account: Account, requestsPerSecond: number | undefined, { count }: EntryPart): void {
        if (requestsPerSecond === undefined) {
            account.bucket = undefined;
            return;
        }
        const rate = requestsPerSecond / count;
        const { burstSeconds, minBurst } = this.options;
        const least = Math.min(minBurst, requestsPerSecond * burstSeconds);
        const burst = Math.max(1, least, rate * burstSeconds);
        if (account.bucket === undefined) {
            account.bucket = new TokenBucket(this.options.clock, rate, burst);
        }
        else if (account.bucket.rate !== rate) {
            account.bucket.change(rate, burst);
        }
    }

    /** Removes the accounts whose state equals that of a new account. */
    private sweep(): void {
        for (const [organisation, { inFlight, bucket }] of this.accounts) {
            if (inFlight === 0 && bucket?.isFull !== false) {
                this.accounts.delete(organisation);
            }
        }
        this.nextSweep = Math.max(firstSweep, this.accounts.size * 2);
    }
}

/** Counts a request as in flight. Returns an idempotent function that releases it. */
function countIn(account: Account): () => void {
    account.inFlight++;
    let counted = true;
    return () => {
        if (counted) {
            counted = false;
            account.inFlight--;
        }
    };
}

/**
 * This entry's share of a limit as an integer, so that the shares of all entries add up to the limit. The start is
 * offset by organisation, as otherwise the first entries would get the remainder of every limit. If the limit is below
 * the number of entries, each entry still allows one request, since its callers would otherwise always be refused.
 */
function integerShare(organisation: string, limit: number, { index, count }: EntryPart): number {
    const place = (index + hash(organisation)) % count;
    return Math.max(1, Math.floor((place + 1) * limit / count) - Math.floor(place * limit / count));
}

function hash(text: string): number {
    let value = 0;
    for (let i = 0; i < text.length; i++) {
        value = (value * 31 + text.charCodeAt(i)) >>> 0;
    }
    return value;
}

/**
 * Creates the limiter for the requests of organisations at one entry.
 *
 * @example
 * ```ts
 * const limits = createOrganisationLimits({ clock, part: () => ({ index: 0, count: 3 }) });
 * const admitted = limits.admit("ports", { requestsPerSecond: 30 });
 * ```
 * @public
 */
export function createOrganisationLimits(options: OrganisationLimitsOptions): OrganisationLimits {
    return new EntryLimits({
        part: () => ({ index: 0, count: 1 }),
        burstSeconds: 1,
        minBurst: 4,
        inFlightRetry: 1000,
        ...withoutUndefined(options),
    });
}

function withoutUndefined(options: OrganisationLimitsOptions): OrganisationLimitsOptions {
    const { part, ...others } = options;
    return part === undefined ? others : options;
}
