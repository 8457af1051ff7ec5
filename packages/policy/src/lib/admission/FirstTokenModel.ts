import { type CompleteWorkQueueOptions } from "./WorkQueueOptions.js";

/** Milliseconds without an observation after which half of what was learned beyond the long-run figure is forgotten. */
const forgetHalfLife = 1000;
/** Milliseconds without an observation after which one item may start against the prediction, to see whether it holds. */
const trialInterval = 500;

/**
 * Predicts the time from start to first token: the prefill work that is ahead of an item plus its own, times a learned
 * cost of a token. The backlog is a fluid that drains at that same rate.
 *
 * @internal
 */
export class FirstTokenModel {
    private tokenCost: number;
    private usualTokenCost: number;
    private deviation = 0;
    private backlog = 0;
    private updatedAt: number;
    private observedAt: number;
    /** Work at the start of each item whose first token is still to come, oldest first. */
    private readonly pending = new Map<string, number>();

    constructor(private readonly options: CompleteWorkQueueOptions) {
        this.tokenCost = options.initialTokenCost;
        this.usualTokenCost = options.initialTokenCost;
        this.updatedAt = options.clock.now();
        this.observedAt = this.updatedAt;
    }

    /** The predicted time to the first token of an item that starts now, in milliseconds. */
    predict(cost: number): number {
        this.drain();
        const mean = this.workOf(cost) * this.currentCost();
        return mean + this.options.caution * this.deviation * this.kept();
    }

    /** True when nothing is under way that would correct a wrong prediction, and nothing was for a while. */
    needsTrial(): boolean {
        return this.pending.size === 0 && this.options.clock.now() - this.observedAt >= trialInterval;
    }

    started(id: string, cost: number): void {
        this.drain();
        this.pending.set(id, this.workOf(cost));
        this.backlog += cost;
    }

    finished(id: string): void {
        this.pending.delete(id);
    }

    /** Learns from a first token. Prefills end nearly in the order of their starts, so it is taken as the oldest one's. */
    observe(duration: number): void {
        const oldest = this.pending.entries().next().value;
        if (oldest === undefined) {
            return;
        }
        const [id, work] = oldest;
        this.pending.delete(id);
        this.drain();
        const cost = this.currentCost();
        const error = Math.abs(duration - work * cost);
        const deviation = this.deviation * this.kept();
        this.deviation = deviation + (error - deviation) / this.options.memory;
        this.tokenCost = cost + (duration / work - cost) / this.options.memory;
        this.usualTokenCost += (duration / work - this.usualTokenCost) / (this.options.memory * 10);
        this.observedAt = this.options.clock.now();
    }

    private workOf(cost: number): number {
        return this.backlog + cost + this.options.overheadTokens;
    }

    /** Forgets a bad spell while nothing is observed; otherwise a target that refuses everything would never learn. */
    private currentCost(): number {
        return this.usualTokenCost + (this.tokenCost - this.usualTokenCost) * this.kept();
    }

    private kept(): number {
        const age = this.options.clock.now() - this.observedAt;
        return 2 ** -(age / forgetHalfLife);
    }

    private drain(): void {
        const now = this.options.clock.now();
        this.backlog = Math.max(0, this.backlog - (now - this.updatedAt) / this.currentCost());
        this.updatedAt = now;
    }
}
