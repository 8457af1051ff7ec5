import { type WorkItem, type WorkQueue } from "@waxwingspar/policy";
import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/**
 * A queue that starts at once while slots are free, and in the order of arrival otherwise.
 *
 * @internal
 */
export class TestQueue implements WorkQueue {
    private readonly active = new Set<string>();
    private waiting: WorkItem[] = [];
    private closed = false;

    constructor(private readonly slots = 64) {}

    get running(): number {
        return this.active.size;
    }

    get queued(): number {
        return this.waiting.length;
    }

    offer(item: WorkItem): Outcome<"started" | "queued"> {
        if (this.closed) {
            return Result.err(failure(requestCodes.stopping, "closed"));
        }
        if (this.active.size < this.slots) {
            this.active.add(item.id);
            item.start();
            return Result.ok("started");
        }
        this.waiting.push(item);
        return Result.ok("queued");
    }

    finish(id: string): void {
        this.active.delete(id);
        const next = this.waiting.shift();
        if (next !== undefined) {
            this.active.add(next.id);
            next.start();
        }
    }

    cancel(id: string): boolean {
        const before = this.waiting.length;
        this.waiting = this.waiting.filter(item => item.id !== id);
        return this.waiting.length < before;
    }

    observe(): void {
        // Nothing is predicted here.
    }

    estimate(): number {
        return 0;
    }

    setShare(): void {
        // All are equal here.
    }

    close(): void {
        this.closed = true;
        const left = this.waiting;
        this.waiting = [];
        left.forEach(item => item.refuse(failure(requestCodes.stopping, "closed")));
    }
}
