import { type Clock, type Timer } from "./Clock.js";

interface PendingTimer {
    readonly due: number;
    readonly order: number;
    readonly callback: () => void;
}

/**
 * A clock that is advanced by hand, for tests and for benchmarks in virtual time.
 *
 * @example
 * ```ts
 * const clock = new ManualClock();
 * clock.schedule(() => console.log("due"), 100);
 * clock.advance(100);
 * ```
 * @public
 */
export class ManualClock implements Clock {
    private time: number;
    private scheduledCount = 0;
    private readonly timers = new Set<PendingTimer>();

    /** @param start - The first value of {@link ManualClock.now}, in milliseconds. */
    constructor(start = 0) {
        this.time = start;
    }

    now(): number {
        return this.time;
    }

    date(): Date {
        return new Date(this.time);
    }

    schedule(callback: () => void, delay: number): Timer {
        const timer: PendingTimer = { due: this.time + Math.max(0, delay), order: this.scheduledCount++, callback };
        this.timers.add(timer);
        return { cancel: () => void this.timers.delete(timer) };
    }

    /**
     * Moves time forward and runs every timer that becomes due, in order, including those that timers schedule.
     *
     * @param duration - Milliseconds to move.
     */
    advance(duration: number): void {
        const end = this.time + duration;
        for (let next = this.firstDue(end); next !== undefined; next = this.firstDue(end)) {
            this.timers.delete(next);
            this.time = Math.max(this.time, next.due);
            next.callback();
        }
        this.time = end;
    }

    /**
     * Like {@link ManualClock.advance}, but runs pending promise callbacks after every step, for code that awaits.
     *
     * @param duration - Milliseconds to move.
     * @param step - Milliseconds between two runs of the promise callbacks.
     */
    async advanceAsync(duration: number, step = 10): Promise<void> {
        for (let left = duration; left > 0; left -= step) {
            this.advance(Math.min(step, left));
            await settle();
        }
    }

    private firstDue(end: number): PendingTimer | undefined {
        let first: PendingTimer | undefined;
        for (const timer of this.timers) {
            if (timer.due > end) {
                continue;
            }
            if (
                first === undefined || timer.due < first.due || (timer.due === first.due && timer.order < first.order)
            ) {
                first = timer;
            }
        }
        return first;
    }
}

/** Runs all pending promise callbacks. */
function settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
