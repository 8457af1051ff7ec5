import { type Clock } from "@waxwingspar/utils";

const millisecondsPerSecond = 1000;

/**
 * A token bucket: a rate limit that allows bursts.
 *
 * @internal
 */
export class TokenBucket {
    private tokens: number;
    private refilledAt: number;

    /**
     * @param rate - Tokens per second.
     * @param burst - The capacity of the bucket in tokens, at least 1.
     */
    constructor(private readonly clock: Clock, public rate: number, private burst: number) {
        this.tokens = burst;
        this.refilledAt = clock.now();
    }

    /** Takes a token. Returns false when none is available. */
    take(): boolean {
        this.refill();
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Milliseconds until the next token is available. */
    wait(): number {
        this.refill();
        return Math.max(0, 1 - this.tokens) / this.rate * millisecondsPerSecond;
    }

    /** True while the bucket is filled to capacity. */
    get isFull(): boolean {
        this.refill();
        return this.tokens >= this.burst;
    }

    /** Changes rate and capacity. Saved tokens are kept up to the new capacity. */
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
