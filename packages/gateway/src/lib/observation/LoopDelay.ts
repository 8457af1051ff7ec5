import { type Clock } from "@waxwingspar/utils";

/** Milliseconds for which a delay counts. */
const span = 1_000;

/**
 * How late the timers of this process ran of late. A process that stands still reads nothing either, so what seems silent to it may
 * have answered.
 */
export class LoopDelay {
    private delays: { readonly at: number; readonly delay: number; }[] = [];

    constructor(private readonly clock: Clock) {}

    /**
     * Notes that a timer runs now.
     *
     * @param due - When it should have run, on the clock.
     * @returns Milliseconds that it was late.
     */
    note(due: number): number {
        const at = this.clock.now();
        const delay = Math.max(0, at - due);
        this.delays = this.delays.filter(other => other.at > at - span && other.delay > delay);
        this.delays.push({ at, delay });
        return delay;
    }

    /** The longest delay of the last second, in milliseconds. */
    get recent(): number {
        const start = this.clock.now() - span;
        return this.delays.find(({ at }) => at > start)?.delay ?? 0;
    }
}
