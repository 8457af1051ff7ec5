import { type LoadReport } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type RoutingTarget } from "../lib/routing/Router.js";

/** Milliseconds to prefill one block; every prompt takes the time of one extra block. */
const blockTime = 4;
/** Milliseconds in a minute. */
const minute = 60_000;
/** Time constant of the eviction rate's average, in milliseconds, as in the agent. */
const evictionMemory = 30_000;

/**
 * A simulated target with a prefix cache. It runs one prefill at a time, evicts the least recently used blocks, and
 * reports cache figures at most a second old, as an agent does.
 *
 * @internal
 */
export class CacheTarget {
    running = 0;
    private readonly blocks = new Set<string>();
    private freeAt = 0;
    private evicted = 0;
    private evictionRate = 0;
    private generation = 0;
    private polled = { cacheGeneration: 0, cacheEvicted: 0 };

    constructor(readonly spec: RoutingTarget, private readonly clock: Clock, private readonly capacity: number) {}

    /** Prefills a prompt. Returns the number of cached blocks, and the milliseconds until the first token. */
    prefill(prompt: readonly string[]): { cached: number; delay: number; } {
        let cached = 0;
        while (cached < prompt.length && this.blocks.has(prompt[cached]!)) {
            cached++;
        }
        const now = this.clock.now();
        this.freeAt = Math.max(now, this.freeAt) + (prompt.length - cached + 1) * blockTime / this.spec.speed;
        for (const block of prompt) {
            this.blocks.delete(block);
            this.blocks.add(block);
        }
        this.evict();
        return { cached, delay: this.freeAt - now };
    }

    clear(): void {
        this.blocks.clear();
        this.generation++;
    }

    /**
     * Updates the reported cache figures, as an agent does each second.
     *
     * @param interval - Milliseconds since the previous update.
     */
    poll(interval: number): void {
        this.evictionRate += (this.evicted / interval - this.evictionRate) * (1 - Math.exp(-interval / evictionMemory));
        this.evicted = 0;
        const cacheEvicted = this.evictionRate * minute / Math.max(1, this.blocks.size);
        this.polled = { cacheGeneration: this.generation, cacheEvicted };
    }

    report(includesCache: boolean): LoadReport {
        const { name, slots } = this.spec;
        const load = { target: name, running: this.running, queued: 0, slots, tokenInterval: 25, leaving: false };
        const firstTokenEstimate = Math.max(0, this.freeAt - this.clock.now());
        return { ...load, firstTokenEstimate, ...includesCache ? this.polled : {} };
    }

    private evict(): void {
        for (const block of this.blocks) {
            if (this.blocks.size <= this.capacity) {
                return;
            }
            this.blocks.delete(block);
            this.evicted++;
        }
    }
}
