import { type CompleteWorkQueueOptions } from "./WorkQueueOptions.js";

/** Milliseconds after which half of what was learned beyond the long-run figures is forgotten without an observation. */
const forgetHalfLife = 1000;
/** Milliseconds without an observation after which one item may start against the prediction, to see whether it holds. */
const trialInterval = 500;
/** How many times slower the long-run figures learn. */
const longRun = 10;
/** The first guess of how much of the work ahead is still to be done when an item starts. */
const initialAheadShare = 0.5;

/** An item whose first token is still to come. */
interface PendingItem {
    /** Its own work, in tokens. */
    readonly own: number;
    /** Work of the items that were pending when it started, in tokens. */
    readonly ahead: number;
}

/** Milliseconds that a token of an item's own work, and one of the work ahead of it, add to its first token. */
class Weights {
    private learned = 0;

    /** @param memory - How many observations they look back on once there are as many; before that all count alike. */
    constructor(private own: number, private ahead: number, private readonly memory: number) {}

    predict({ own, ahead }: PendingItem): number {
        return this.own * own + this.ahead * ahead;
    }

    /** Corrects both by a normalised gradient step. */
    learn(item: PendingItem, duration: number): void {
        this.learned++;
        const rate = 1 / Math.min(this.learned, this.memory);
        const step = rate * (duration - this.predict(item)) / (item.own ** 2 + item.ahead ** 2);
        this.own = Math.max(0, this.own + step * item.own);
        this.ahead = Math.max(0, this.ahead + step * item.ahead);
        if (item.ahead === 0) {
            // An item that found nothing ahead tells nothing of that weight. Too high a weight would let in only such
            // items and never be put right, so it returns to its usual share of the other one.
            this.ahead += rate * (this.own * initialAheadShare - this.ahead);
        }
        this.ahead = Math.min(this.ahead, this.own);
    }
}

/**
 * Predicts the time from start to first token from an item's own prefill and that of the items still pending. Two
 * weights are learned, since what is ahead may be half done, or be done at the same time on another stage.
 *
 * @internal
 */
export class FirstTokenModel {
    private readonly recent: Weights;
    private readonly usual: Weights;
    private deviation = 0;
    private observedAt: number;
    /** Items whose first token is still to come, oldest first. */
    private readonly pending = new Map<string, PendingItem>();
    private pendingWork = 0;

    constructor(private readonly options: CompleteWorkQueueOptions) {
        const { initialTokenCost, memory } = options;
        this.recent = new Weights(initialTokenCost, initialTokenCost * initialAheadShare, memory);
        this.usual = new Weights(initialTokenCost, initialTokenCost * initialAheadShare, memory * longRun);
        this.observedAt = options.clock.now();
    }

    /** The predicted time to the first token of an item that starts now, in milliseconds. */
    predict(cost: number): number {
        return this.mean(this.itemOf(cost)) + this.options.caution * this.deviation * this.kept();
    }

    /** True when nothing is under way that would correct a wrong prediction, and nothing was for a while. */
    needsTrial(): boolean {
        return this.pending.size === 0 && this.options.clock.now() - this.observedAt >= trialInterval;
    }

    started(id: string, cost: number): void {
        const item = this.itemOf(cost);
        this.pending.set(id, item);
        this.pendingWork += item.own;
    }

    finished(id: string): void {
        const item = this.pending.get(id);
        if (item !== undefined) {
            this.pending.delete(id);
            this.pendingWork = this.pending.size === 0 ? 0 : this.pendingWork - item.own;
        }
    }

    /** Learns from a first token. Prefills end nearly in the order of their starts, so it is taken as the oldest one's. */
    observe(duration: number): void {
        const oldest = this.pending.entries().next().value;
        if (oldest === undefined) {
            return;
        }
        const [id, item] = oldest;
        this.finished(id);
        const { memory } = this.options;
        const error = Math.abs(duration - this.mean(item));
        const deviation = this.deviation * this.kept();
        this.deviation = deviation + (error - deviation) / memory;
        this.recent.learn(item, duration);
        this.usual.learn(item, duration);
        this.observedAt = this.options.clock.now();
    }

    private itemOf(cost: number): PendingItem {
        return { own: cost + this.options.overheadTokens, ahead: this.pendingWork };
    }

    /** Forgets a bad spell while nothing is observed; otherwise a target that refuses everything would never learn. */
    private mean(item: PendingItem): number {
        const usual = this.usual.predict(item);
        return usual + (this.recent.predict(item) - usual) * this.kept();
    }

    private kept(): number {
        const age = this.options.clock.now() - this.observedAt;
        return 2 ** -(age / forgetHalfLife);
    }
}
