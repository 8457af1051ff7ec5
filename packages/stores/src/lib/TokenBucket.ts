import { type Clock } from "@waxwingspar/utils";

/**
 * Options of a {@link TokenBucket}.
 *
 * @public
 */
export interface TokenBucketOptions {
    readonly clock: Clock;
    /** Permits per second. */
    readonly rate: number;
    /** The maximum number of permits that can accumulate while none are taken. */
    readonly burst?: number;
}

const msPerSecond = 1000;

/**
 * A rate limiter. A permit can be taken before it is due, so that the caller waits until then.
 *
 * @public
 */
export class TokenBucket {
    private readonly clock: Clock;
    private readonly burst: number;
    private rate: number;
    private permits: number;
    private updated: number;

    constructor(options: TokenBucketOptions) {
        this.clock = options.clock;
        this.rate = options.rate;
        this.burst = options.burst ?? 1;
        this.permits = this.burst;
        this.updated = this.clock.now();
    }

    /**
     * Takes a permit if one is due within `maxWait`.
     *
     * @param maxWait - The longest wait that the caller accepts, in milliseconds.
     * @returns Milliseconds to wait before using the permit, or undefined when none was taken.
     */
    take(maxWait = 0): number | undefined {
        const wait = this.wait();
        if (wait > maxWait) {
            return undefined;
        }
        this.permits -= 1;
        return wait;
    }

    /** Milliseconds until the next permit. */
    wait(): number {
        this.refill();
        return this.permits >= 1 ? 0 : (1 - this.permits) / this.rate * msPerSecond;
    }

    /** Changes the rate from now on. */
    setRate(rate: number): void {
        this.refill();
        this.rate = rate;
    }

    /**
     * Drops accumulated permits, so that the next one is due after a fraction of the interval between permits. After an
     * outage, processes that do this with random fractions stay within their combined rate from the start.
     *
     * @param part - When the next permit is due, from 0 (now) to 1 (after a whole interval).
     */
    restart(part: number): void {
        this.refill();
        this.permits = Math.min(this.permits, 1 - part);
    }

    private refill(): void {
        const now = this.clock.now();
        this.permits = Math.min(this.burst, this.permits + (now - this.updated) / msPerSecond * this.rate);
        this.updated = now;
    }
}
