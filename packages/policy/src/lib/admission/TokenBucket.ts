import { type Clock } from "@waxwingspar/utils";

const millisecondsPerSecond = 1000;

/**
 * A rate limit with a burst.
 *
 * @internal
 */
export class TokenBucket {
    private tokens: number;
    private refilledAt: number;

    /**
     * @param rate - Tokens per second.
     * @param burst - The most tokens that can be saved up, at least 1.
     */
    constructor(private readonly clock: Clock, public rate: number, private burst: number) {
        this.tokens = burst;
        this.refilledAt = clock.now();
    }

    /** Takes a token if there is one. */
    take(): boolean {
        this.refill();
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Milliseconds until a token is there. */
    wait(): number {
        this.refill();
        return Math.max(0, 1 - this.tokens) / this.rate * millisecondsPerSecond;
    }

    /** True while nothing more can be saved up. */
    get full(): boolean {
        this.refill();
        return this.tokens >= this.burst;
    }

    /** Goes on at another rate. What was saved up stays, as far as the new burst holds it. */
    change(rate: number, burst: number): void {
        this.refill();
        this.rate = rate;
        this.burst = burst;
        this.tokens = Math.min(burst, this.tokens);
    }

    private refill(): void {
        const now = this.clock.now();
        const gained = (now - this.refilledAt) / millisecondsPerSecond * this.rate;
        this.tokens = Math.min(this.burst, this.tokens + gained);
        this.refilledAt = now;
    }
}
