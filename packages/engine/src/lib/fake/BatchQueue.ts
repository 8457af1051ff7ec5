import { type Clock, type Timer } from "@waxwingspar/utils";

/** @internal */
export interface BatchItem {
    /** Higher goes first. */
    readonly priority: number;
    /** How many positions the item covers. */
    readonly count: number;
}

/** @internal */
export interface BatchQueueOptions<Item extends BatchItem> {
    readonly clock: Clock;
    /** The most items in one batch. */
    readonly slots: number;
    /** How long a batch takes, in milliseconds. */
    readonly duration: (items: readonly Item[]) => number;
    /** Ends a batch. */
    readonly complete: (items: readonly Item[]) => void;
}

/**
 * Continuous batching: what is submitted while a batch runs goes into the next one, higher priority first and then in
 * the order of submission.
 *
 * @internal
 */
export class BatchQueue<Item extends BatchItem> {
    private waiting: Item[] = [];
    private batch: Item[] = [];
    private timer: Timer | undefined;
    private startPlanned = false;
    private paused = false;

    constructor(private readonly options: BatchQueueOptions<Item>) {}

    get runningCount(): number {
        return this.batch.length;
    }

    get waitingCount(): number {
        return this.waiting.length;
    }

    submit(item: Item): void {
        this.waiting.push(item);
        this.planStart();
    }

    /** Takes out the items that are not in a running batch and for which a condition holds. */
    remove(condition: (item: Item) => boolean): Item[] {
        const removed = this.waiting.filter(condition);
        this.waiting = this.waiting.filter(item => !condition(item));
        return removed;
    }

    /** Takes out every item, also those of the running batch, which then never completes. */
    clear(): Item[] {
        this.timer?.cancel();
        this.timer = undefined;
        const removed = [...this.batch, ...this.waiting];
        this.batch = [];
        this.waiting = [];
        return removed;
    }

    /** Lets no batch end or start until {@link BatchQueue.resume}. */
    pause(): void {
        this.paused = true;
        this.timer?.cancel();
        this.timer = undefined;
    }

    /** Goes on after a pause; a batch that was running ends at once. */
    resume(): void {
        this.paused = false;
        if (this.batch.length > 0) {
            this.endBatch();
            return;
        }
        this.planStart();
    }

    /** Starts a batch once the current turn of the event loop has submitted all it has. */
    private planStart(): void {
        if (this.startPlanned || this.batch.length > 0) {
            return;
        }
        this.startPlanned = true;
        queueMicrotask(() => {
            this.startPlanned = false;
            this.startBatch();
        });
    }

    private startBatch(): void {
        if (this.paused || this.batch.length > 0 || this.waiting.length === 0) {
            return;
        }
        // The sort is stable, so that items of one priority keep their order.
        const sorted = this.waiting.sort((a, b) => b.priority - a.priority);
        this.batch = sorted.slice(0, this.options.slots);
        this.waiting = sorted.slice(this.options.slots);
        const duration = this.options.duration(this.batch);
        if (duration <= 0) {
            this.endBatch();
            return;
        }
        this.timer = this.options.clock.schedule(() => this.endBatch(), duration);
    }

    private endBatch(): void {
        const batch = this.batch;
        this.timer = undefined;
        this.batch = [];
        this.options.complete(batch);
        if (this.waiting.length > 0) {
            this.planStart();
        }
    }
}
