import { type CompleteWorkQueueOptions } from "./WorkQueueOptions.js";

/** Half-life, in milliseconds without observations, of the recent weights' difference from the long-run weights. */
const forgetHalfLife = 1000;
/** Milliseconds without observations after which one item may start against the prediction, as a probe of it. */
const trialInterval = 500;
/** How many times as many observations the long-run weights average over as the recent ones. */
const longRunFactor = 10;
/** Initial estimate of the share of the pending work that is still to be done when an item starts. */
const initialAheadShare = 0.5;

/** An item that has started and has not produced its first token. */
interface PendingItem {
    /** The item's own work, in tokens. */
    readonly own: number;
    /** Work of the items that were pending when it started, in tokens. */
    readonly ahead: number;
}

/** Milliseconds that each token of an item's own work, and of the work ahead, adds to the time to its first token. */
class Weights {
    private learned = 0;

    /** @param memory - Observations averaged over; until there are as many, all count equally. */
    constructor(private own: number, private ahead: number, private readonly memory: number) {}

    predict({ own, ahead }: PendingItem): number {
        return this.own * own + this.ahead * ahead;
    }

    /** Adjusts both weights by a normalised gradient step. */
    learn(item: PendingItem, duration: number): void {
        this.learned++;
        const rate = 1 / Math.min(this.learned, this.memory);
        const step = rate * (duration - this.predict(item)) / (item.own ** 2 + item.ahead ** 2);
        this.own = Math.max(0, this.own + step * item.own);
        this.ahead = Math.max(0, this.ahead + step * item.ahead);
        if (item.ahead === 0) {
            // An item with no work ahead gives no evidence about that weight. If the weight were too high, only such
            // items would be admitted and it would never be corrected, so it decays to its initial share of the other.
            this.ahead += rate * (this.own * initialAheadShare - this.ahead);
        }
        this.ahead = Math.min(this.ahead, this.own);
    }
}

/**
 * Predicts the time from start to first token from an item's own prefill and that of the items still pending. The two
 * have separate weights, since the work ahead may be partly done or may run concurrently on another stage.
 *
 * @internal
 */
export class FirstTokenModel {
    /** Weights averaged over the last observations. */
    private readonly recent: Weights;
    /** The long-run weights, averaged over {@link longRunFactor} times as many observations. */
    private readonly usual: Weights;
    private deviation = 0;
    private observedAt: number;
    /** Items that have started and have not produced their first token, oldest first. */
    private readonly pending = new Map<string, PendingItem>();
    private pendingWork = 0;

    constructor(private readonly options: CompleteWorkQueueOptions) {
        const { initialTokenCost, memory } = options;
        this.recent = new Weights(initialTokenCost, initialTokenCost * initialAheadShare, memory);
        this.usual = new Weights(initialTokenCost, initialTokenCost * initialAheadShare, memory * longRunFactor);
        this.observedAt = options.clock.now();
    }

    /** Predicts the time to the first token of an item that starts now, in milliseconds. */
    predict(cost: number): number {
        return this.mean(this.itemOf(cost)) + this.options.caution * this.deviation * this.recency();
    }

    /** True when no item is pending that could correct a wrong prediction, and none was observed recently. */
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

    /** Learns from a first token, attributed to the oldest pending item: prefills end nearly in starting order. */
    observe(duration: number): void {
        const oldest = this.pending.entries().next().value;
        if (oldest === undefined) {
            return;
        }
        const [id, item] = oldest;
        this.finished(id);
        const { memory } = this.options;
        const error = Math.abs(duration - this.mean(item));
        const deviation = this.deviation * this.recency();
        this.deviation = deviation + (error - deviation) / memory;
        this.recent.learn(item, duration);
        this.usual.learn(item, duration);
        this.observedAt = this.options.clock.now();
    }

    private itemOf(cost: number): PendingItem {
        return { own: cost + this.options.overheadTokens, ahead: this.pendingWork };
    }

    /**
     * The recent prediction decays to the long-run one while there are no observations. Otherwise a target that refuses
     * every item after a slow period would never correct its prediction.
     */
    private mean(item: PendingItem): number {
        const usual = this.usual.predict(item);
        return usual + (this.recent.predict(item) - usual) * this.recency();
    }

    /** The weight of the recent figures: 1 just after an observation, falling to 0 with age. */
    private recency(): number {
        const age = this.options.clock.now() - this.observedAt;
        return 2 ** -(age / forgetHalfLife);
    }
}
