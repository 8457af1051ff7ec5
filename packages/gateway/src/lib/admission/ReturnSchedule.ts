import { type Clock, type Random } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { EventRate } from "./EventRate.js";

/** How an attempt relates to earlier refusals of the same request. */
export type ReturnClass =
    /** The caller returned at the time it was told, or later. */
    | "asTold"
    /** The caller returned before that time. */
    | "early"
    /** The request has not been refused lately. */
    | "new";

/** Options of {@link ReturnSchedule}. */
export interface ReturnScheduleOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Slots that become free per millisecond; undefined while unknown. */
    readonly freedRate: () => number | undefined;
    /** Maximum number of refused requests that are remembered. Default 20,000: 70 s of 300 refusals a second. */
    readonly maxRemembered?: number;
}

/** A refused attempt. */
export interface RefusedAttempt {
    readonly digest: string;
    readonly rank: number;
    /** Milliseconds that the caller has left. */
    readonly timeLeft: number;
}

interface PromisedReturn {
    readonly due: number;
    /** Number of refusals since the request was last granted a slot. */
    readonly refusals: number;
}

/** Share of the time that a caller has left by which it must have returned, so that the answer fits into the rest. */
const maxShareOfTimeLeft = 1 / 3;
/** Milliseconds for which a refused request is remembered: the longest deadline of a caller. */
const memory = 20_000;
/**
 * Number of refusals of one digest after which it is taken to be shared by several callers, since a caller retries once.
 * Otherwise callers that send equal requests would all be told the same time, and be last of their rank.
 */
const maxRefusalsOfCaller = 5;
/** Milliseconds before the promised time at which a caller still counts as returning when told: its clock may differ. */
const earlyTolerance = 10;
/** Milliseconds of a bucket of the calendar. */
const bucketTime = 50;
/** Number of buckets: a third of the longest deadline, 6.7 s, and some reserve. */
const bucketCount = 160;
/** Time constant of the rates of first attempts, in milliseconds. */
const attemptTimeConstant = 2_000;
/**
 * Smallest share of the freed slots that the calendar promises to callers who return. First attempts alone may exceed
 * the capacity, but those who return are not put behind them.
 */
const minReturnShare = 0.1;
/**
 * Longest time in milliseconds until a return for which no capacity is expected: the shortest duration of a stream. The
 * crowd of a burst returns for this long after the last refusal. In plays of 5 s of three times the capacity and then
 * 0.7 of it, the share of first attempts that were granted from 5 to 7 s after the end was 0.93 to 1.00 with 3 s, and
 * 1.00 with 2 s, by seed. The share of callers served in and after the burst was 0.57 and 0.55.
 */
const overloadReturnTime = 2_000;

/**
 * Decides when refused callers are to return, and recognises them when they do. It handles the crowd that a burst
 * leaves behind: told one fixed time, 100 refused callers a second come back as a second burst, and an overload
 * outlasts its cause. Each is told the first time at which the calendar of promised returns has a slot for it.
 *
 * A caller is recognised by the digest of its request. Callers that send equal requests count as one until the digest
 * has been refused more often than one caller asks.
 */
export class ReturnSchedule {
    private readonly promised: LRUCache<string, PromisedReturn>;
    /** Rates of first attempts by rank. */
    private readonly attempts = new Map<number, EventRate>();
    /** Promised returns by rank and bucket. The buckets form a ring. */
    private readonly calendar = new Map<number, number[]>();
    /** Index of the earliest bucket, counted from the clock's origin. */
    private firstBucket: number;

    constructor(private readonly options: ReturnScheduleOptions) {
        this.promised = new LRUCache({ max: options.maxRemembered ?? 20_000 });
        this.firstBucket = this.bucketAt(options.clock.now());
    }

    classify(digest: string): ReturnClass {
        const promise = this.recall(digest);
        if (promise === undefined || isShared(promise)) {
            return "new";
        }
        return this.options.clock.now() < promise.due - earlyTolerance ? "early" : "asTold";
    }

    /** Records the first attempt of a caller. */
    noteFirstAttempt(rank: number): void {
        this.attemptRate(rank).add();
    }

    /** Forgets a request that was granted a slot. */
    forget(digest: string): void {
        const promise = this.promised.get(digest);
        if (promise !== undefined && !isShared(promise)) {
            this.promised.delete(digest);
        }
    }

    /**
     * Promises a time to return to a refused caller.
     *
     * @param expectedWait - Milliseconds until a slot is expected for it; infinite while none is.
     * @returns Milliseconds after which the caller is to return. A caller that returned early keeps its earlier promise.
     */
    refuse(attempt: RefusedAttempt, expectedWait: number): number {
        const now = this.options.clock.now();
        const bound = Math.max(0, attempt.timeLeft * maxShareOfTimeLeft);
        const promise = this.recall(attempt.digest);
        const refusals = (promise?.refusals ?? 0) + 1;
        if (promise !== undefined && promise.due - earlyTolerance > now && refusals <= maxRefusalsOfCaller) {
            this.promised.set(attempt.digest, { due: promise.due, refusals });
            return Math.min(bound, promise.due - now);
        }
        const delay = Math.min(bound, this.findTime(attempt.rank, bound, expectedWait));
        this.record(attempt.rank, delay);
        this.promised.set(attempt.digest, { due: now + delay, refusals });
        return delay;
    }

    private recall(digest: string): PromisedReturn | undefined {
        const promise = this.promised.get(digest);
        const isCurrent = promise !== undefined && promise.due + memory >= this.options.clock.now();
        return isCurrent ? promise : undefined;
    }

    private findTime(rank: number, bound: number, expectedWait: number): number {
        const rate = this.options.freedRate();
        if (rate === undefined || rate <= 0) {
            return this.spread(0, Math.min(bound, overloadReturnTime));
        }
        const earliest = Math.min(bound, Math.max(1 / rate, Number.isFinite(expectedWait) ? expectedWait : 0));
        const bucket = this.findBucket(rank, rate, earliest, bound);
        if (bucket === undefined) {
            const latest = Math.min(bound, 1 / rate + overloadReturnTime);
            return this.spread(Math.min(earliest, latest / 2), latest);
        }
        const now = this.options.clock.now();
        const start = (this.firstBucket + bucket) * bucketTime - now;
        return this.spread(Math.max(earliest, start), Math.max(earliest, start + bucketTime));
    }

    /** Finds the first bucket with a slot for one more return, counted from the earliest one. */
    private findBucket(rank: number, rate: number, earliest: number, bound: number): number | undefined {
        this.discardPast();
        const spare = Math.max(minReturnShare * rate, rate - this.attemptsUpTo(rank));
        const capacity = spare * bucketTime;
        const now = this.options.clock.now();
        const last = Math.min(bucketCount - 1, this.bucketAt(now + bound) - this.firstBucket);
        const first = this.bucketAt(now + earliest) - this.firstBucket;
        let free = 0;
        for (let bucket = 0; bucket <= last; bucket++) {
            // Slots that nobody was promised serve first attempts instead, so they are not carried over for long.
            free = Math.min(Math.max(1, capacity), free + capacity - this.promisedIn(bucket, rank));
            if (bucket >= first && free >= 1) {
                return bucket;
            }
        }
        return undefined;
    }

    private promisedIn(bucket: number, rank: number): number {
        const place = (this.firstBucket + bucket) % bucketCount;
        let sum = 0;
        for (const [urgent, buckets] of this.calendar) {
            sum += urgent <= rank ? buckets[place]! : 0;
        }
        return sum;
    }

    private attemptsUpTo(rank: number): number {
        let sum = 0;
        for (const [urgent, rate] of this.attempts) {
            sum += urgent <= rank ? rate.value : 0;
        }
        return sum;
    }

    private attemptRate(rank: number): EventRate {
        let rate = this.attempts.get(rank);
        if (rate === undefined) {
            rate = new EventRate({ clock: this.options.clock, timeConstant: attemptTimeConstant });
            this.attempts.set(rank, rate);
        }
        return rate;
    }

    private record(rank: number, delay: number): void {
        this.discardPast();
        const bucket = this.bucketAt(this.options.clock.now() + delay);
        if (bucket >= this.firstBucket + bucketCount) {
            return;
        }
        let buckets = this.calendar.get(rank);
        if (buckets === undefined) {
            buckets = Array.from({ length: bucketCount }, () => 0);
            this.calendar.set(rank, buckets);
        }
        buckets[bucket % bucketCount]!++;
    }

    private discardPast(): void {
        const current = this.bucketAt(this.options.clock.now());
        const passed = Math.min(bucketCount, current - this.firstBucket);
        for (const buckets of this.calendar.values()) {
            for (let i = 0; i < passed; i++) {
                buckets[(this.firstBucket + i) % bucketCount] = 0;
            }
        }
        this.firstBucket = current;
    }

    private bucketAt(time: number): number {
        return Math.floor(time / bucketTime);
    }

    private spread(from: number, to: number): number {
        return from + this.options.random.next() * (to - from);
    }
}

function isShared({ refusals }: PromisedReturn): boolean {
    return refusals > maxRefusalsOfCaller;
}
