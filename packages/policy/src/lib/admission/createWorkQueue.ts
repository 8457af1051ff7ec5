import { type Clock, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type WorkItem, type WorkQueue } from "./WorkQueue.js";

/**
 * Options of {@link createWorkQueue}.
 *
 * @public
 */
export interface WorkQueueOptions {
    readonly clock: Clock;
    /** Items that may run at once. */
    readonly slots: number;
    /** Items that may wait. Default 256. */
    readonly capacity?: number;
}

interface Waiting {
    readonly item: WorkItem;
    readonly expires: number;
}

class SimpleWorkQueue implements WorkQueue {
    private readonly active = new Set<string>();
    private waiting: Waiting[] = [];
    private closed = false;
    private firstToken = 100;
    private hold = 1000;

    constructor(private readonly options: Required<WorkQueueOptions>) {}

    get running(): number {
        return this.active.size;
    }

    get queued(): number {
        return this.waiting.length;
    }

    offer(item: WorkItem): Outcome<"started" | "queued"> {
        this.expire();
        if (this.closed) {
            return Result.err(failure(requestCodes.stopping, "the target is stopping"));
        }
        if (item.timeLeft <= 0) {
            return Result.err(failure(requestCodes.deadlinePassed, "the deadline has passed"));
        }
        if (this.active.size < this.options.slots) {
            this.begin(item);
            return Result.ok("started");
        }
        const estimate = this.estimate();
        if (this.waiting.length >= this.options.capacity || estimate > item.startBound) {
            return Result.err(failure(requestCodes.overloaded, "the bound would be missed", { retryAfter: estimate }));
        }
        const expires = this.options.clock.now() + Math.min(item.timeLeft, item.startBound);
        this.waiting.push({ item, expires });
        this.options.clock.schedule(() => this.expire(), expires - this.options.clock.now());
        return Result.ok("queued");
    }

    finish(id: string, duration: number): void {
        if (!this.active.delete(id)) {
            return;
        }
        this.hold += (duration - this.hold) / 20;
        this.expire();
        const next = this.waiting.shift();
        if (next !== undefined) {
            this.begin(next.item);
        }
    }

    cancel(id: string): boolean {
        const before = this.waiting.length;
        this.waiting = this.waiting.filter(entry => entry.item.id !== id);
        return this.waiting.length < before;
    }

    observe(firstToken: number | undefined): void {
        if (firstToken !== undefined) {
            this.firstToken += (firstToken - this.firstToken) / 20;
        }
    }

    estimate(): number {
        const ahead = this.active.size < this.options.slots ? 0 : this.waiting.length + 1;
        return ahead * this.hold / this.options.slots + this.firstToken;
    }

    setShare(): void {
        // Shares come with the fair queue.
    }

    close(): void {
        this.closed = true;
        const left = this.waiting;
        this.waiting = [];
        left.forEach(entry => entry.item.refuse(failure(requestCodes.stopping, "the target is stopping")));
    }

    private begin(item: WorkItem): void {
        this.active.add(item.id);
        item.start();
    }

    private expire(): void {
        const now = this.options.clock.now();
        const late = this.waiting.filter(entry => entry.expires <= now);
        this.waiting = this.waiting.filter(entry => entry.expires > now);
        late.forEach(entry => entry.item.refuse(failure(requestCodes.deadlinePassed, "expired while it waited")));
    }
}

/**
 * Creates the queue of an agent.
 *
 * @public
 */
export function createWorkQueue(options: WorkQueueOptions): WorkQueue {
    return new SimpleWorkQueue({ capacity: 256, ...options });
}
