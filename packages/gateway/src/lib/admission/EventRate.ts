import { type Clock } from "@waxwingspar/utils";

/** Options of {@link EventRate}. */
export interface EventRateOptions {
    readonly clock: Clock;
    /** Time constant of the exponential average, in milliseconds. */
    readonly timeConstant: number;
}

/**
 * Milliseconds from the first event until a rate is known. Under overload, 20 to 40 slots become free in this time; the
 * first few alone would show a far too high or too low rate.
 */
const minObservation = 200;

/**
 * The rate of events as an exponential average. Under overload, a rate of 150 events a second and a time constant of
 * 1 s give an error of about 6 %, and a change of the load shows within a second.
 */
export class EventRate {
    private sum = 0;
    private updated = 0;
    private started: number | undefined;

    constructor(private readonly options: EventRateOptions) {}

    /** Whether events have been observed for long enough. */
    get isKnown(): boolean {
        return this.started !== undefined && this.options.clock.now() - this.started >= minObservation;
    }

    add(count = 1): void {
        const now = this.options.clock.now();
        this.started ??= now;
        this.sum = this.decayedSum(now) + count;
        this.updated = now;
    }

    /** Sum of the events, each weighted by its age. */
    get recent(): number {
        return this.decayedSum(this.options.clock.now());
    }

    /** Events per millisecond; 0 before the first one. */
    get value(): number {
        if (this.started === undefined) {
            return 0;
        }
        const now = this.options.clock.now();
        const { timeConstant } = this.options;
        const observed = Math.max(minObservation, now - this.started);
        // The sum of a constant rate approaches the rate times the time constant only after some time constants.
        return this.decayedSum(now) / (timeConstant * (1 - Math.exp(-observed / timeConstant)));
    }

    private decayedSum(now: number): number {
        return this.sum * Math.exp((this.updated - now) / this.options.timeConstant);
    }
}
