import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";

/** Requests that are remembered; after a crash each that ran on the target is, most of them for a moment only. */
const mostRemembered = 1_000;
/** Milliseconds without a further crash after which a request is forgotten: its caller will not come back then. */
const forgetTime = 600_000;

/**
 * How many targets crashed under each request, by its digest: as this process saw it, and as the other gateways tell in
 * their heartbeats. No crash is counted twice, as each gateway tells of its own runs only.
 */
export class CrashCounts {
    private readonly seen: LRUCache<string, number>;
    /**
     * The most that the others ever told together. Heartbeats hold few requests, so what they told once may be missing in the
     * next; a request that ran well meanwhile is cleared by what the store holds of it.
     */
    private readonly told: LRUCache<string, number>;

    constructor(clock: Clock) {
        const options = {
            max: mostRemembered,
            ttl: forgetTime,
            ttlResolution: 0,
            perf: { now: () => clock.now() },
        };
        this.seen = new LRUCache(options);
        this.told = new LRUCache(options);
    }

    /** A target crashed under a run of the request here. */
    add(digest: string): void {
        this.seen.set(digest, (this.seen.get(digest) ?? 0) + 1);
    }

    /** The request ran well here, which none does that crashes targets. */
    clear(digest: string): void {
        this.seen.delete(digest);
    }

    /** Takes what all other gateways together tell. */
    hear(counts: Readonly<Record<string, number>>): void {
        for (const [digest, count] of Object.entries(counts)) {
            this.told.set(digest, Math.max(count, this.told.get(digest) ?? 0));
        }
    }

    /** Whether no crash under a request is known, here or from others. */
    get isEmpty(): boolean {
        return this.seen.size === 0 && this.told.size === 0;
    }

    /** Whether a target crashed under the request here. */
    hasSeen(digest: string): boolean {
        return this.seen.has(digest);
    }

    /** Crashes under the request, over all gateways. */
    of(digest: string): number {
        const { seen, told } = this.parts(digest);
        return seen + told;
    }

    /** How many of them were seen here, and told by others. */
    parts(digest: string): { readonly seen: number; readonly told: number; } {
        return { seen: this.seen.get(digest) ?? 0, told: this.told.get(digest) ?? 0 };
    }

    /**
     * What this process has to tell: first the requests under which most targets crashed over all gateways, so that all tell of the
     * same ones, and of equal ones those that were seen last.
     */
    listSeen(): Record<string, number> {
        const ranked = [...this.seen.entries()].map(([digest, count]) => ({ digest, count, rank: this.of(digest) }));
        ranked.sort((a, b) => b.rank - a.rank);
        return Object.fromEntries(ranked.map(({ digest, count }) => [digest, count]));
    }
}
