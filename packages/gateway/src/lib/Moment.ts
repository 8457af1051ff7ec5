import { type Clock } from "@waxwingspar/utils";

/**
 * A moment on both clocks of a process. The monotonic clock never jumps, but stops while the host is suspended; the
 * wall clock continues during suspension, but may be adjusted. The larger of the two ages never understates the true
 * age.
 */
export interface Moment {
    /** Milliseconds on the monotonic clock. */
    readonly now: number;
    /** Milliseconds on the wall clock. */
    readonly date: number;
}

/** Reads both clocks. */
export function currentMoment(clock: Clock): Moment {
    return { now: clock.now(), date: clock.date().getTime() };
}

/** Milliseconds since a moment, by the clock that shows more. */
export function ageOf(moment: Moment, clock: Clock): number {
    const { now, date } = currentMoment(clock);
    return Math.max(now - moment.now, date - moment.date);
}

/** The later of two moments. */
export function latestMoment(known: Moment | undefined, other: Moment): Moment {
    return known === undefined || other.now > known.now ? other : known;
}
