import { type Clock, type Timer } from "./Clock.js";

interface PendingTimer {
    readonly due: number;
    readonly order: number;
    readonly callback: () => void;
}

/**
 * A clock that moves only when told to, for tests and for benchmarks on virtual time.
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
    private scheduled = 0;
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
        const timer: PendingTimer = { due: this.time + Math.max(0, delay), order: this.scheduled++, callback };
        this.timers.add(timer);
        return { cancel: () => void this.timers.delete(timer) };
    }

    /**
     * Moves time forward and runs every timer that falls due, in order, including those scheduled on the way.
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
     * Like {@link ManualClock.advance}, but lets promise callbacks settle after every step, for code that awaits.
     *
     * @param duration - Milliseconds to move.
     * @param step - Milliseconds between two settlements.
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

/** Lets every promise callback that is ready run. */
function settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
