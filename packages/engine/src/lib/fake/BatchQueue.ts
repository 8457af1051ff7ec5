import { type Clock, type Timer } from "@waxwingspar/utils";

/** @internal */
export interface BatchItem {
    /** Items with a higher priority are batched first. */
    readonly priority: number;
    /** The number of positions that the item covers. */
    readonly count: number;
}

/** @internal */
export interface BatchQueueOptions<Item extends BatchItem> {
    readonly clock: Clock;
    /** The maximum number of items in one batch. */
    readonly slots: number;
    /** Returns the duration of a batch in milliseconds. */
    readonly duration: (items: readonly Item[]) => number;
    /** Called with the items of a batch when it ends. */
    readonly complete: (items: readonly Item[]) => void;
}

/**
 * Continuous batching: items submitted while a batch runs go into the next one, by descending priority and then in
 * order of submission.
 *
 * @internal
 */
export class BatchQueue<Item extends BatchItem> {
    private waiting: Item[] = [];
    private batch: Item[] = [];
    private timer: Timer | undefined;
    private isStartScheduled = false;
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
        this.scheduleStart();
    }

    /** Removes and returns the waiting items that meet a condition; items of the running batch stay. */
    remove(condition: (item: Item) => boolean): Item[] {
        const removed = this.waiting.filter(condition);
        this.waiting = this.waiting.filter(item => !condition(item));
        return removed;
    }

    /** Removes and returns every item, including those of the running batch, which then never completes. */
    clear(): Item[] {
        this.timer?.cancel();
        this.timer = undefined;
        const removed = [...this.batch, ...this.waiting];
        this.batch = [];
        this.waiting = [];
        return removed;
    }

    /** Prevents batches from starting or ending until {@link BatchQueue.resume}. */
    pause(): void {
        this.paused = true;
        this.timer?.cancel();
        this.timer = undefined;
    }

    /** Resumes after a pause; a batch that was running when the pause began ends immediately. */
    resume(): void {
        this.paused = false;
        if (this.batch.length > 0) {
            this.endBatch();
            return;
        }
        this.scheduleStart();
    }

    /** Schedules the start of a batch as a microtask, so that items submitted together share it. */
    private scheduleStart(): void {
        if (this.isStartScheduled || this.batch.length > 0) {
            return;
        }
        this.isStartScheduled = true;
        queueMicrotask(() => {
            this.isStartScheduled = false;
            this.startBatch();
        });
    }

    private startBatch(): void {
        if (this.paused || this.batch.length > 0 || this.waiting.length === 0) {
            return;
        }
        // The sort is stable: items with the same priority keep their order.
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
            this.scheduleStart();
        }
    }
}
