import { type LoadReport } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type WorkQueue } from "../lib/admission/WorkQueue.js";
import { type RoutingTarget } from "../lib/routing/Router.js";

/** Prefill of one cache block on one stage at speed 1, in milliseconds. */
const blockTime = 4;
/** One token on one stage of an empty target, in milliseconds; it grows by {@link batchSlope} up to a full batch. */
const tokenTime = 16;
const batchSlope = 0.7;
/** Cache blocks that a target holds for each of its slots. */
const cacheBlocksPerSlot = 20;

/** A cache event as the target publishes it. */
export interface FakeCacheEvent {
    readonly kind: "stored" | "evicted";
    readonly blocks: readonly string[];
}

/**
 * A target at its interface: a prefill that runs one prompt after the other, a batch that slows as it fills, and a
 * prefix cache that drops the blocks longest unused. The queue before it is the real one.
 *
 * @internal
 */
export class FakeTarget {
    queue: WorkQueue;
    isDead = false;
    /** 1 as usual, 10 at a tenth of the speed. */
    slowdown = 1;
    /** 1 as usual, 100 for a link slowed a hundredfold. */
    linkSlowdown = 1;
    /** What to call when the target dies, for each request that it runs. */
    readonly sessions = new Map<object, () => void>();
    onCacheEvent: (event: FakeCacheEvent) => void = () => undefined;
    private prefillFreeAt = 0;
    /** Cached blocks, the longest unused first, and whether each was published. */
    private readonly cache = new Map<string, boolean>();

    constructor(
        readonly spec: RoutingTarget,
        private readonly clock: Clock,
        private readonly createQueue: (slots: number) => WorkQueue,
    ) {
        this.queue = createQueue(spec.slots);
    }

    get latency(): number {
        return this.spec.latency * this.linkSlowdown;
    }

    /** The time of one token on this stage now, in milliseconds. */
    tokenInterval(): number {
        const fill = this.sessions.size / this.spec.slots;
        return tokenTime * (1 + batchSlope * fill) * this.slowdown;
    }

    cachedBlocks(prefix: readonly string[]): number {
        let cached = 0;
        while (cached < prefix.length && this.cache.has(prefix[cached]!)) {
            cached++;
        }
        return cached;
    }

    /** Prefills some blocks behind those already there. Returns how long that takes, in milliseconds. */
    prefill(blocks: number): number {
        const start = Math.max(this.clock.now(), this.prefillFreeAt);
        this.prefillFreeAt = start + (blocks + 1) * blockTime / this.spec.speed * this.slowdown;
        return this.prefillFreeAt - this.clock.now();
    }

    /** Caches a prompt. Only blocks that a second request used are published, as a small control budget demands. */
    store(prefix: readonly string[]): void {
        const reused: string[] = [];
        for (const block of prefix) {
            const wasPublished = this.cache.get(block);
            if (wasPublished === false) {
                reused.push(block);
            }
            this.cache.delete(block);
            this.cache.set(block, wasPublished !== undefined);
        }
        this.publish("stored", reused);
        this.publish("evicted", this.evict());
    }

    /** Drops blocks until the cache fits, and returns those that had been published. */
    private evict(): string[] {
        const published: string[] = [];
        for (const [block, wasPublished] of this.cache) {
            if (this.cache.size <= this.spec.slots * cacheBlocksPerSlot) {
                break;
            }
            this.cache.delete(block);
            if (wasPublished) {
                published.push(block);
            }
        }
        return published;
    }

    /** Dies: what runs fails, what waits is lost with it, the cache is gone. */
    kill(): void {
        this.isDead = true;
        this.cache.clear();
        const failures = [...this.sessions.values()];
        this.sessions.clear();
        failures.forEach(fail => fail());
        this.queue.close();
    }

    revive(): void {
        this.isDead = false;
        this.queue = this.createQueue(this.spec.slots);
        this.prefillFreeAt = this.clock.now();
    }

    report(): LoadReport {
        return {
            target: this.spec.name,
            running: this.sessions.size,
            queued: this.queue.queued,
            slots: this.spec.slots,
            tokenInterval: this.tokenInterval(),
            firstTokenEstimate: this.queue.estimate(),
            leaving: false,
        };
    }

    private publish(kind: FakeCacheEvent["kind"], blocks: readonly string[]): void {
        if (blocks.length > 0) {
            this.onCacheEvent({ kind, blocks });
        }
    }
}
