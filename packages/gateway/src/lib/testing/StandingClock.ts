import { type Clock, ManualClock, type Timer } from "@waxwingspar/utils";

/** A manual clock of a process that can stand still: time passes, and none of its timers runs. */
export class StandingClock implements Clock {
    private readonly manual = new ManualClock();
    private stoodStill = 0;

    /** @param step - Milliseconds between two settlements of promises in {@link StandingClock.advanceAsync}. */
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

    /** Lets time pass in which the process neither runs timers nor reads. */
    stand(duration: number): void {
        this.stoodStill += duration;
    }
}
