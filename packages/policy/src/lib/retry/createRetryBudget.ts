import { type Clock, type Random } from "@waxwingspar/utils";
import { type RetryBudget } from "./RetryBudget.js";

/**
 * Options of {@link createRetryBudget}. The reasons for the defaults are in docs/design/retries.md.
 *
 * @public
 */
export interface RetryBudgetOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Retries granted per successful request while no attempt fails. Default 0.1. */
    readonly ratio?: number;
    /** Maximum and initial number of retries in the budget. Default 20. */
    readonly capacity?: number;
    /** Cost of the retry of a refused request; that of a failed one costs 1. Default 0.25. */
    readonly refusalCost?: number;
    /** Retries per second granted regardless of successes, so that an idle process can still retry. Default 0.1. */
    readonly trickle?: number;
    /** Number of ended attempts that the success rate averages over. Default 50. */
    readonly memory?: number;
    /** Upper limit of the first back-off delay, in milliseconds. It doubles with each retry. Default 25. */
    readonly baseDelay?: number;
    /** Upper limit of every back-off delay, in milliseconds. Default 2000. */
    readonly maxDelay?: number;
}

const millisecondsPerSecond = 1000;

/**
 * A token bucket that is filled by successful requests and drained by retries. The credit of a success is scaled by the
 * square of the success rate, so the budget shrinks faster than failures grow and cannot sustain an overload.
 */
class SuccessFundedBudget implements RetryBudget {
    private tokens: number;
    private successShare = 1;
    /** First attempts that have not yet been matched with an ended attempt. */
    private uncreditedRequests = 0;
    private refilledAt: number;

    constructor(private readonly options: Required<RetryBudgetOptions>) {
        this.tokens = options.capacity;
        this.refilledAt = options.clock.now();
    }

    request(): void {
        this.uncreditedRequests++;
    }

    ended(success: boolean): void {
        this.successShare += ((success ? 1 : 0) - this.successShare) / this.options.memory;
        if (this.uncreditedRequests === 0) {
            return;
        }
        // Each first attempt is credited at most once, so successful retries do not fund further retries.
        this.uncreditedRequests--;
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
