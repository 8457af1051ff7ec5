import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { type SlotPool } from "./SlotPool.js";

/**
 * Bounds of the milliseconds for which a refusal tells that a pool is full: slots become free every few milliseconds, and
 * asking each pool for each request costs messages.
 */
const fullTime = { min: 100, max: 250 };
/** Maximum number of pools and ranks that are remembered. */
const maxEntries = 1_000;

/** Milliseconds for which an expected wait is used. */
const maxWaitAge = 1_000;

/** The pools that refused a request a moment ago, by rank. */
export class FullPools {
    /** When a request of a rank would have got a slot of a pool, in milliseconds from the refusal. */
    private readonly waits = new LRUCache<string, number>({
        max: maxEntries,
        ttl: maxWaitAge,
        perf: { now: () => this.clock.now() },
    });
    /** Until when a pool is full for a rank and less urgent ones. */
    private readonly ends = new LRUCache<string, number>({ max: maxEntries });
    private leastUrgent = 0;

    constructor(private readonly clock: Clock) {}

    /**
     * @param retryAfter - Milliseconds after which the caller is to return.
     * @param wait - Milliseconds until a slot was expected.
     */
    record(pool: SlotPool, rank: number, retryAfter: number, wait: number): void {
        this.leastUrgent = Math.max(this.leastUrgent, rank);
        this.noteWait(pool, rank, wait);
        this.ends.set(keyOf(pool, rank), this.clock.now() + Math.min(fullTime.max, Math.max(fullTime.min, retryAfter)));
    }

    /** Records how long a request of a rank waited or was to wait for a slot, in milliseconds. */
    noteWait(pool: SlotPool, rank: number, wait: number): void {
        this.waits.set(keyOf(pool, rank), wait);
    }

    /** Milliseconds that a request of a rank is expected to wait for a slot; 0 if that is not known. */
    expectedWait(pool: SlotPool, rank: number): number {
        return this.waits.get(keyOf(pool, rank)) ?? 0;
    }

    /** Milliseconds until a pool may take a request of a rank; 0 if it is not known to be full. */
    timeLeft(pool: SlotPool, rank: number): number {
        const ranks = Array.from({ length: Math.min(rank, this.leastUrgent) + 1 }, (_, index) => index);
        const ends = ranks.map(other => this.ends.get(keyOf(pool, other)) ?? 0);
        return Math.max(0, Math.max(...ends) - this.clock.now());
    }
}

function keyOf({ service, dataCentre }: SlotPool, rank: number): string {
    return `${dataCentre} ${service} ${rank}`;
}
