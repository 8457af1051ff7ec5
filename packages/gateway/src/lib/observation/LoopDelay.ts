import { type Clock } from "@waxwingspar/utils";

interface Delay {
    readonly at: number;
    readonly duration: number;
}

/** Milliseconds for which delays are remembered. */
const span = 1_000;
/** Milliseconds of a delay from which it counts: timers are always a little late. */
const leastDelay = 2;

/**
 * How late the timers of this process ran of late. A process that stands still reads nothing either, so what seems silent to it may
 * have answered.
 */
export class LoopDelay {
    private delays: Delay[] = [];

    constructor(private readonly clock: Clock) {}

    /**
     * Notes that a timer runs now.
     *
     * @param due - When it should have run, on the clock.
     * @returns Milliseconds that it was late.
     */
    note(due: number): number {
        const at = this.clock.now();
        const duration = Math.max(0, at - due);
        if (duration >= leastDelay) {
            this.delays = this.delays.filter(delay => delay.at > at - span);
            this.delays.push({ at, duration });
        }
        return duration;
    }

    /** The longest delay of the last second, in milliseconds. */
    get recent(): number {
        const durations = this.since(this.clock.now() - span).map(({ duration }) => duration);
        return Math.max(0, ...durations);
    }

    /** Milliseconds that this process stood still since a moment of the last second, at least. */
    stoodStillSince(moment: number): number {
        return this.since(moment).reduce((sum, { at, duration }) => sum + Math.min(duration, at - moment), 0);
    }

    private since(moment: number): readonly Delay[] {
        return this.delays.filter(({ at }) => at > moment);
    }
}
