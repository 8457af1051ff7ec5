import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type WorkItem, type WorkQueue } from "../lib/admission/WorkQueue.js";

/** Maximum number of queued items. */
const capacity = 256;

/**
 * The admission baseline: a first-in, first-out queue that is limited only by its length.
 *
 * @internal
 */
export class FifoQueue implements WorkQueue {
    private readonly active = new Set<string>();
    private waiting: WorkItem[] = [];

    constructor(private readonly slots: number) {}

    get running(): number {
        return this.active.size;
    }

    get queued(): number {
        return this.waiting.length;
    }

    offer(item: WorkItem): Outcome<"started" | "queued"> {
        if (this.active.size < this.slots) {
            this.begin(item);
            return Result.ok("started");
        }
        if (this.waiting.length >= capacity) {
            return Result.err(failure(requestCodes.overloaded, "the queue is full"));
        }
        this.waiting.push(item);
        return Result.ok("queued");
    }

    finish(id: string): void {
        this.active.delete(id);
        const next = this.waiting.shift();
        if (next !== undefined) {
            this.begin(next);
        }
    }

    cancel(id: string): boolean {
        const before = this.waiting.length;
        this.waiting = this.waiting.filter(item => item.id !== id);
        return this.waiting.length < before;
    }

    observe(): void {
        // This queue does not learn from observations.
    }

    estimate(): number {
        return 0;
    }

    setShare(): void {
        // This queue does not distinguish organisations.
    }

    close(): void {
        const reason: Failure = failure(requestCodes.stopping, "the target is stopping");
        this.waiting.splice(0).forEach(item => item.refuse(reason));
    }

    private begin(item: WorkItem): void {
        this.active.add(item.id);
        item.start();
    }
}
