import { type Clock, type Timer } from "./Clock.js";
import { ManualClock } from "./ManualClock.js";

/**
 * A manual clock of a process that can stall: its time advances while none of its timers runs.
 *
 * @public
 */
export class StallingClock implements Clock {
    private readonly manual = new ManualClock();
    private stoodStill = 0;

    /**
     * @param step - Milliseconds after which {@link StallingClock.advanceAsync} lets pending promises settle each time.
     */
    constructor(private readonly step?: number) {}

    now(): number {
        return this.manual.now() + this.stoodStill;
    }

    date(): Date {
        return this.manual.date();
    }

    schedule(callback: () => void, delay: number): Timer {
        return this.manual.schedule(callback, delay);
    }

    advanceAsync(duration: number): Promise<void> {
        return this.manual.advanceAsync(duration, this.step);
    }

    /** Simulates a stall of the process: advances the time without running timers. */
    stall(duration: number): void {
        this.stoodStill += duration;
    }
}
