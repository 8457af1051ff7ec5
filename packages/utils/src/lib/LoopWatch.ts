import { type Clock, type Timer } from "./Clock.js";

/** Milliseconds between two ticks. */
const tickInterval = 20;

/**
 * Measures for how long the event loop is blocked while something is awaited, by how late its ticks run. A process that
 * was blocked has read no input, so what it did not receive meanwhile may have arrived in time.
 *
 * @public
 */
export class LoopWatch {
    private timer: Timer;
    private due = 0;
    private sum = 0;

    constructor(private readonly clock: Clock) {
        this.timer = this.scheduleTick();
    }

    /** Milliseconds for which the event loop has been blocked since the start. */
    get blockedTime(): number {
        return this.sum + Math.max(0, this.clock.now() - this.due);
    }

    stop(): void {
        this.timer.cancel();
    }

    private scheduleTick(): Timer {
        this.due = this.clock.now() + tickInterval;
        return this.clock.schedule(() => {
            this.sum = this.blockedTime;
            this.timer = this.scheduleTick();
        }, tickInterval);
    }
}
