import { type LoadReport } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type RoutingTarget } from "../lib/routing/Router.js";

/** Prefill of one block, in milliseconds; a prompt takes one block more than it has. */
const blockTime = 4;
const minute = 60_000;
/** Milliseconds over which evictions are averaged, as the agent does. */
const evictionMemory = 30_000;

/**
 * A target whose prefix cache matters: one prefill at a time, and blocks longest unused evicted first. It reports what an
 * agent reports of its engine, at most a second old.
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

    /** Takes in a prompt. Returns how many of its blocks were cached, and the milliseconds until its first token. */
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

    /** What the agent does each second. */
    poll(interval: number): void {
        this.evictionRate += (this.evicted / interval - this.evictionRate) * (1 - Math.exp(-interval / evictionMemory));
        this.evicted = 0;
        const cacheEvicted = this.evictionRate * minute / Math.max(1, this.blocks.size);
        this.polled = { cacheGeneration: this.generation, cacheEvicted };
    }

    report(tellsCache: boolean): LoadReport {
        const { name, slots } = this.spec;
        const load = { target: name, running: this.running, queued: 0, slots, tokenInterval: 25, leaving: false };
        const firstTokenEstimate = Math.max(0, this.freeAt - this.clock.now());
        return { ...load, firstTokenEstimate, ...tellsCache ? this.polled : {} };
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
