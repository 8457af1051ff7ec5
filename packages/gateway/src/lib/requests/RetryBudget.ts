import { type Clock } from "@waxwingspar/utils";
import { budgetShare, type Precedence } from "./precedence.js";

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    readonly clock: Clock;
    /** Length of the sliding window in milliseconds. */
    readonly window: number;
    /** Retries allowed per request in a window. */
    readonly share: number;
    /** Retries allowed in a window in addition to the share, for all gateways together. */
    readonly reserve: number;
    /** Number of gateways that share the reserve. */
    readonly gateways: () => number;
}

/** Share of the allowance that is used. The rest absorbs the offsets between the windows of different processes. */
const safetyFactor = 0.8;

/**
 * Limits the retries that one gateway sends to one service in any window. Each gateway may use the share of its own
 * requests and an equal part of the reserve, so the limit over all gateways holds without coordination.
 */
export class RetryBudget {
    private readonly requests: number[] = [];
    private readonly retries: number[] = [];

    constructor(private readonly options: RetryBudgetOptions) {}

    /** Counts a request of a caller. */
    request(): void {
        const now = this.options.clock.now();
        this.requests.push(now);
        dropBefore(this.requests, now - this.options.window);
    }

    /** Whether the window allows one more retry now. */
    mayRetry(precedence: Precedence): boolean {
        const start = this.options.clock.now() - this.options.window;
        dropBefore(this.requests, start);
        dropBefore(this.retries, start);
        const { share, reserve, gateways } = this.options;
        const allowed = (share * this.requests.length + reserve / Math.max(1, gateways())) * safetyFactor;
        return this.retries.length + 1 <= allowed * budgetShare[precedence];
    }

    /** Takes one retry from the budget. @returns False if none is left in the window. */
    take(precedence: Precedence): boolean {
        if (!this.mayRetry(precedence)) {
            return false;
        }
        this.retries.push(this.options.clock.now());
        return true;
    }

    /** Returns the newest retry, which reached no target: only arrivals count against the allowance. */
    giveBack(): void {
        this.retries.pop();
    }
}

function dropBefore(times: number[], bound: number): void {
    let count = 0;
    while (count < times.length && (times[count] ?? 0) < bound) {
        count++;
    }
    times.splice(0, count);
}
