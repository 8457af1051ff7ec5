import { type Clock } from "@waxwingspar/utils";
import { type Precedence } from "../requests/precedence.js";

/** Options of {@link PermitBucket}. */
export interface PermitBucketOptions {
    readonly clock: Clock;
    /** Permits at the start. */
    readonly level?: number;
}

/** Milliseconds of the rate that may accumulate while there is no demand, in addition to {@link reserve}. */
const burstTime = 250;
/** Permits that must be available for a request of each precedence: the last one is kept for streams that have begun. */
const needed: Readonly<Record<Precedence, number>> = { running: 1, waiting: 2 };
const reserve = needed.waiting;
const millisecondsPerSecond = 1_000;

/**
 * A token bucket of permits to send to one target, at a rate that may change. It starts empty: whoever issued permits
 * before it may have issued one a moment ago.
 */
export class PermitBucket {
    private level: number;
    private refilledAt: number;

    constructor(private readonly options: PermitBucketOptions) {
        this.level = options.level ?? 0;
        this.refilledAt = options.clock.now();
    }

    /** Takes a permit. @param rate - Permits per second. @returns False if none is available. */
    take(rate: number, precedence: Precedence): boolean {
        this.refill(rate);
        if (this.level < needed[precedence]) {
            return false;
        }
        this.level--;
        return true;
    }

    /** Milliseconds until a permit is available if no other is taken. */
    wait(rate: number, precedence: Precedence): number {
        this.refill(rate);
        return Math.max(0, needed[precedence] - this.level) / rate * millisecondsPerSecond;
    }

    private refill(rate: number): void {
        const now = this.options.clock.now();
        const capacity = reserve + rate * burstTime / millisecondsPerSecond;
        const gained = (now - this.refilledAt) / millisecondsPerSecond * rate;
        this.level = Math.min(capacity, this.level + gained);
        this.refilledAt = now;
    }
}
