import { type Clock } from "@waxwingspar/utils";
import { budgetShare, type Precedence } from "./precedence.js";

/** Options of {@link RepeatBudget}. */
export interface RepeatBudgetOptions {
    readonly clock: Clock;
    /** Length of the sliding window in milliseconds. */
    readonly window: number;
    /** Repeats allowed in a window for each request of it. */
    readonly share: number;
    /** Repeats allowed in a window beyond the share, over all gateways together. */
    readonly reserve: number;
    /** How many gateways share the reserve. */
    readonly gateways: () => number;
}

/** The part of the allowance that is used. Chosen: it leaves room for what each process counts in a slightly other window. */
const safetyFactor = 0.8;

/**
 * Limits the repeats that one gateway sends to one service in any window. Every gateway may use the share of its own
 * requests and an equal part of the reserve, so the sum over all of them holds without a word between them.
 */
export class RepeatBudget {
    private readonly requests: number[] = [];
    private readonly repeats: number[] = [];

    constructor(private readonly options: RepeatBudgetOptions) {}

    /** Counts a caller's request. */
    request(): void {
        const now = this.options.clock.now();
        this.requests.push(now);
        dropBefore(this.requests, now - this.options.window);
    }

    /** Whether the window allows one more repeat now. */
    hasLeft(precedence: Precedence): boolean {
        const start = this.options.clock.now() - this.options.window;
        dropBefore(this.requests, start);
        dropBefore(this.repeats, start);
        const { share, reserve, gateways } = this.options;
        const allowed = (share * this.requests.length + reserve / Math.max(1, gateways())) * safetyFactor;
        return this.repeats.length + 1 <= allowed * budgetShare[precedence];
    }

    /** Takes one repeat. @returns False when the window holds too many. */
    take(precedence: Precedence): boolean {
        if (!this.hasLeft(precedence)) {
            return false;
        }
        this.repeats.push(this.options.clock.now());
        return true;
    }

    /** Gives back the newest repeat, which reached no target: only arrivals count against the allowance. */
    giveBack(): void {
        this.repeats.pop();
    }
}

function dropBefore(times: number[], bound: number): void {
    let count = 0;
    while (count < times.length && (times[count] ?? 0) < bound) {
        count++;
    }
    times.splice(0, count);
}
