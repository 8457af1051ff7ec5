import { performance } from "node:perf_hooks";

/** For how long an event loop has waited for input and has worked, in milliseconds since its start. */
export interface LoopTimes {
    readonly idle: number;
    readonly active: number;
}

/** Reads the {@link LoopTimes} of this process. */
export type ReadLoopTimes = () => LoopTimes;

/** Milliseconds over which the utilization is averaged: some periods of a quota of processor time. */
const averagingTime = 250;

/**
 * Maximum milliseconds for which one sample counts. A longer one spans a standstill, after which the loop may have nothing
 * left to do.
 */
const maxSampleTime = 100;

/**
 * The share of recent time in which the event loop had work. A process that waits for processor time while it has work
 * counts as working, so that 1 means the same on a host of any size: it does not keep up with its input.
 */
export class LoopUtilization {
    private last: LoopTimes;
    private average = 0;

    constructor(private readonly read: ReadLoopTimes = () => performance.eventLoopUtilization()) {
        this.last = read();
    }

    /** From 0 to 1, averaged over {@link averagingTime}. */
    get value(): number {
        return this.average;
    }

    /** Adds the time since the last sample to the average. */
    sample(): void {
        const { idle, active } = this.read();
        const working = Math.max(0, active - this.last.active);
        const elapsed = working + Math.max(0, idle - this.last.idle);
        this.last = { idle, active };
        if (elapsed > 0) {
            const weight = 1 - Math.exp(-Math.min(elapsed, maxSampleTime) / averagingTime);
            this.average += weight * (working / elapsed - this.average);
        }
    }
}
