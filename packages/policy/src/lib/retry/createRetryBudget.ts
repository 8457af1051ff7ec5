import { type Clock, type Random } from "@waxwingspar/utils";
import { type RetryBudget } from "./RetryBudget.js";

/**
 * Options of {@link createRetryBudget}. The defaults are defended in docs/design/retries.md.
 *
 * @public
 */
export interface RetryBudgetOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Retries that one success pays for while nothing fails. Default 0.1. */
    readonly ratio?: number;
    /** The most retries that can be saved up; also what a new budget holds. Default 20. */
    readonly capacity?: number;
    /** What the retry of a refused request takes from the budget, against 1 for one that failed. Default 0.25. */
    readonly refusalCost?: number;
    /** Retries per second granted without any success, so that an idle process can still retry. Default 0.1. */
    readonly trickle?: number;
    /** How many ends the share of successes looks back on. Default 50. */
    readonly memory?: number;
    /** The upper limit of the first wait, in milliseconds. It doubles with each retry. Default 25. */
    readonly baseDelay?: number;
    /** The upper limit of any wait, in milliseconds. Default 2000. */
    readonly maxDelay?: number;
}

const millisecondsPerSecond = 1000;

/**
 * A token bucket that successes fill and retries empty. What one success pays shrinks with the square of the share of
 * attempts that succeed, so the budget closes faster than failures grow and cannot hold an overload in place.
 */
class SuccessFundedBudget implements RetryBudget {
    private tokens: number;
    private successShare = 1;
    private unfunded = 0;
    private refilledAt: number;

    constructor(private readonly options: Required<RetryBudgetOptions>) {
        this.tokens = options.capacity;
        this.refilledAt = options.clock.now();
    }

    request(): void {
        this.unfunded++;
    }

    ended(success: boolean): void {
        this.successShare += ((success ? 1 : 0) - this.successShare) / this.options.memory;
        if (this.unfunded === 0) {
            return;
        }
        // Each first attempt pays at most once, so successful retries do not pay for further ones.
        this.unfunded--;
        if (!success) {
            return;
        }
        this.add(this.options.ratio * this.successShare ** 2);
    }

    spend(kind: "failed" | "refused" = "failed"): boolean {
        this.refill();
        const cost = kind === "refused" ? this.options.refusalCost : 1;
        if (this.tokens < cost) {
            return false;
        }
        this.tokens -= cost;
        return true;
    }

    backoff(attempt: number): number {
        const limit = this.options.baseDelay * 2 ** (attempt - 1);
        return this.options.random.next() * Math.min(limit, this.options.maxDelay);
    }

    private refill(): void {
        const now = this.options.clock.now();
        this.add((now - this.refilledAt) / millisecondsPerSecond * this.options.trickle);
        this.refilledAt = now;
    }

    private add(amount: number): void {
        this.tokens = Math.min(this.options.capacity, this.tokens + amount);
    }
}

/**
 * Creates a retry budget for one process.
 *
 * @public
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    return new SuccessFundedBudget({
        ratio: 0.1,
        capacity: 20,
        refusalCost: 0.25,
        trickle: 0.1,
        memory: 50,
        baseDelay: 25,
        maxDelay: 2000,
        ...options,
    });
}
