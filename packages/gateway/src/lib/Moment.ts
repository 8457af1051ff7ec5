import { type Clock } from "@waxwingspar/utils";

/**
 * A moment on both clocks of a process. The monotonic clock never jumps, but stands still while a host is suspended; the
 * wall clock goes on meanwhile, but may be set. An age by whichever says more is never too young.
 */
export interface Moment {
    /** Milliseconds on the monotonic clock. */
    readonly now: number;
    /** Milliseconds on the wall clock. */
    readonly date: number;
}

/** The present moment. */
export function currentMoment(clock: Clock): Moment {
    return { now: clock.now(), date: clock.date().getTime() };
}

/** Milliseconds since a moment, at least. */
export function ageOf(moment: Moment, clock: Clock): number {
    const { now, date } = currentMoment(clock);
    return Math.max(now - moment.now, date - moment.date);
}
