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
    /** This entry's part, asked for at each request so that it follows the live entries. By default the whole. */
    readonly part?: () => EntryPart;
    /** Seconds of the part of a rate that may be saved up. Default 1. */
    readonly burstSeconds?: number;
    /**
     * Requests that may be saved up however small the part is, but no more than the whole limit saves up; never less than
     * one. Random arrivals meet refusals below the limit without it. Default 4.
     */
    readonly minBurst?: number;
    /** The time to come back that is given when too many are in progress, in milliseconds. Default 1000. */
    readonly inFlightRetry?: number;
}

interface Account {
    inFlight: number;
    bucket: TokenBucket | undefined;
}

/** Accounts from which on idle ones are looked for. */
const firstSweep = 1024;

class PartialLimits implements OrganisationLimits {
    private readonly accounts = new Map<string, Account>();
    private nextSweep = firstSweep;

    constructor(private readonly options: Required<OrganisationLimitsOptions>) {}

    admit(organisation: string, spec: LimitSpec): Outcome<() => void> {
        const account = this.accountOf(organisation);
        const part = this.options.part();
        this.updateRate(account, spec.requestsPerSecond, part);
        if (spec.maxInFlight !== undefined && account.inFlight >= wholePart(organisation, spec.maxInFlight, part)) {
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

    /** Forgets the accounts that do not differ from new ones. */
    private sweep(): void {
        for (const [organisation, { inFlight, bucket }] of this.accounts) {
            if (inFlight === 0 && bucket?.full !== false) {
                this.accounts.delete(organisation);
            }
        }
        this.nextSweep = Math.max(firstSweep, this.accounts.size * 2);
    }
}

/** Counts a request in, and returns what counts it out, once. */
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
 * A whole number of requests for this entry, so that the parts of all entries add up to the limit. Organisations begin
 * at different entries, or the first entries would get what is left over of every limit. A limit below the number of
 * entries gives each entry one all the same, as its callers could not get in otherwise.
 */
function wholePart(organisation: string, limit: number, { index, count }: EntryPart): number {
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
 * Creates the limits of organisations at one entry.
 *
 * @example
 * ```ts
 * const limits = createOrganisationLimits({ clock, part: () => ({ index: 0, count: 3 }) });
 * const admitted = limits.admit("ports", { requestsPerSecond: 30 });
 * ```
 * @public
 */
export function createOrganisationLimits(options: OrganisationLimitsOptions): OrganisationLimits {
    return new PartialLimits({
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
