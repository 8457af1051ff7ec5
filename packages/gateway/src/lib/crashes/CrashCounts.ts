import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";

/**
 * Maximum number of tracked requests. A crash adds every request that ran on the target; most of them are cleared soon.
 */
const maxRemembered = 1_000;
/** Milliseconds without a further crash after which a request is removed: its caller does not retry after that time. */
const retentionTime = 600_000;

/**
 * Counts the targets that crashed while running a request, by the digest of the request: crashes seen by this process,
 * and those reported by other gateways in their heartbeats. No crash is counted twice, since each gateway reports only
 * its own runs.
 */
export class CrashCounts {
    private readonly seen: LRUCache<string, number>;
    /**
     * The highest sum that the other gateways have reported. A heartbeat holds few requests, so a count may be missing
     * from the next one. A request that has since run without a crash is cleared by its record in the store.
     */
    private readonly told: LRUCache<string, number>;

    constructor(clock: Clock) {
        const options = {
            max: maxRemembered,
            ttl: retentionTime,
            ttlResolution: 0,
            perf: { now: () => clock.now() },
        };
        this.seen = new LRUCache(options);
        this.told = new LRUCache(options);
    }

    /** Records that a target crashed while running the request for this process. */
    add(digest: string): void {
        this.seen.set(digest, (this.seen.get(digest) ?? 0) + 1);
    }

    /** Removes the crashes seen here, because the request ran without a crash, so it is not the cause of crashes. */
    clear(digest: string): void {
        this.seen.delete(digest);
    }

    /** Records the sums that the other gateways report. */
    recordPeerCounts(counts: Readonly<Record<string, number>>): void {
        for (const [digest, count] of Object.entries(counts)) {
            this.told.set(digest, Math.max(count, this.told.get(digest) ?? 0));
        }
    }

    /** Whether no crash is known, neither seen here nor reported by other gateways. */
    get isEmpty(): boolean {
        return this.seen.size === 0 && this.told.size === 0;
    }

    /** Whether a target crashed while running the request for this process. */
    hasSeen(digest: string): boolean {
        return this.seen.has(digest);
    }

    /** Returns the number of crashes of the request over all gateways. */
    of(digest: string): number {
        const { seen, told } = this.parts(digest);
        return seen + told;
    }

    /** Returns the crashes of the request that were seen here (`seen`) and reported by other gateways (`told`). */
    parts(digest: string): { readonly seen: number; readonly told: number; } {
        return { seen: this.seen.get(digest) ?? 0, told: this.told.get(digest) ?? 0 };
    }

    /**
     * Returns the crashes seen here, to be reported to other gateways. Requests with the most crashes over all gateways
     * come first, so that all gateways report the same requests; for equal counts, the most recent crash comes first.
     */
    listSeen(): Record<string, number> {
        const ranked = [...this.seen.entries()].map(([digest, count]) => ({ digest, count, rank: this.of(digest) }));
        ranked.sort((a, b) => b.rank - a.rank);
        return Object.fromEntries(ranked.map(({ digest, count }) => [digest, count]));
    }
}
