import { type Clock } from "@waxwingspar/utils";

interface Delay {
    readonly at: number;
    readonly duration: number;
}

/** Milliseconds for which delays are kept. */
const retention = 1_000;
/** Minimum delay in milliseconds that counts, because timers are always slightly late. */
const minDelay = 2;

/**
 * Tracks event loop delay, measured by how late timers fire. While its event loop is blocked a process reads no
 * replies, so a peer that seems unresponsive may have replied in time.
 */
export class LoopDelay {
    private delays: Delay[] = [];

    constructor(private readonly clock: Clock) {}

    /**
     * Records that a timer fires now.
     *
     * @param due - When the timer was due, on the clock.
     * @returns Milliseconds by which the timer is late.
     */
    record(due: number): number {
        const at = this.clock.now();
        const duration = Math.max(0, at - due);
        if (duration >= minDelay) {
            this.delays = this.delays.filter(delay => delay.at > at - retention);
            this.delays.push({ at, duration });
        }
        return duration;
    }

    /** The longest delay of the last second, in milliseconds. */
    get recent(): number {
        const durations = this.since(this.clock.now() - retention).map(({ duration }) => duration);
        return Math.max(0, ...durations);
    }

    /** Minimum milliseconds for which the event loop was blocked since a moment within the last second. */
    blockedTimeSince(moment: number): number {
        return this.since(moment).reduce((sum, { at, duration }) => sum + Math.min(duration, at - moment), 0);
    }

    private since(moment: number): readonly Delay[] {
        return this.delays.filter(({ at }) => at > moment);
    }
}
