import { type LoadReport } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type WorkQueue } from "../lib/admission/WorkQueue.js";
import { type RoutingTarget } from "../lib/routing/Router.js";

/** Milliseconds to prefill one cache block on one stage at speed 1. */
const blockTime = 4;
/** Milliseconds for one token on one stage of an idle target. */
const tokenTime = 16;
/** The share by which the token time of a full batch exceeds that of an idle target. */
const batchSlope = 0.7;
/** Capacity of a target's prefix cache, in blocks per slot. */
const cacheBlocksPerSlot = 20;

/** A cache event published by a target. */
export interface FakeCacheEvent {
    readonly kind: "stored" | "evicted";
    readonly blocks: readonly string[];
}

/**
 * A simulated target: it prefills one prompt at a time, its batch slows down as it fills, and its prefix cache evicts
 * the least recently used blocks. Its work queue is the real one.
 *
 * @internal
 */
export class FakeTarget {
    queue: WorkQueue;
    isDead = false;
    /** Factor on the target's times: 1 at normal speed, 10 at a tenth of the speed. */
    slowdown = 1;
    /** Factor on the link's latency: 1 normally, 100 for a link slowed a hundredfold. */
    linkSlowdown = 1;
    /** Failure callbacks of the running requests, called when the target fails. */
    readonly sessions = new Map<object, () => void>();
    onCacheEvent: (event: FakeCacheEvent) => void = () => undefined;
    private prefillFreeAt = 0;
    /** Cached blocks, least recently used first, and whether each was published. */
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

    /** Returns the current time for one token on this stage, in milliseconds. */
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

    /** Queues a prefill of some blocks behind the pending ones. Returns the milliseconds until it ends. */
    prefill(blocks: number): number {
        const start = Math.max(this.clock.now(), this.prefillFreeAt);
        this.prefillFreeAt = start + (blocks + 1) * blockTime / this.spec.speed * this.slowdown;
        return this.prefillFreeAt - this.clock.now();
    }

    /** Caches a prompt. Only blocks used by a second request are published, to limit the control traffic. */
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

    /** Evicts blocks until the cache is within its capacity, and returns those that had been published. */
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

    /** Simulates a failure: running requests fail, queued ones are refused, and the cache is lost. */
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
