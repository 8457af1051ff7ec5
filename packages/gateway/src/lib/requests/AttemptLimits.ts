import { type Precedence } from "./precedence.js";
import { type RetryBudget } from "./RetryBudget.js";

/** What is known about a send that ended without a reply. The first two guarantee that the request was not executed. */
export type AttemptEnd = "neverSent" | "neverExecuted" | "unknown";

/** Options of {@link AttemptLimits}. */
export interface AttemptLimitsOptions {
    readonly budget: Pick<RetryBudget, "mayRetry" | "take" | "giveBack">;
    /** Maximum number of targets that the route allows per request. */
    readonly maxAttempts: number;
}

/**
 * Counts the sends of one request against the attempt limit of its route and the retry budget of its service. The
 * attempt limit counts distinct targets, so a request may be sent again to a target that refused it. A send that never
 * arrived counts against neither limit: when the first target of a data centre was lost, such sends used up the budget
 * that other streams needed.
 */
export class AttemptLimits {
    /** Number of times the request arrived at each target. */
    private readonly arrivals = new Map<string, number>();
    private unknownEnds = 0;

    constructor(private readonly options: AttemptLimitsOptions) {}

    /** True once an attempt has ended that may have been executed. */
    get mayHaveRun(): boolean {
        return this.unknownEnds > 0;
    }

    /** Whether the next send is a retry, which the retry budget must allow. */
    get isRetry(): boolean {
        return this.arrivals.size > 0;
    }

    /** Whether the route allows one more target. */
    get hasAttemptLeft(): boolean {
        return this.arrivals.size < this.options.maxAttempts;
    }

    /** Whether the request may be sent to a target: it arrived there before, or the route allows one more target. */
    maySendTo(target: string): boolean {
        return this.hasAttemptLeft || this.arrivals.has(target);
    }

    /** Whether the next send is the first one, or a retry that the budget allows. */
    mayBegin(precedence: Precedence): boolean {
        return !this.isRetry || this.options.budget.mayRetry(precedence);
    }

    /** Counts a send. @returns False if the retry budget does not allow it; the request must not be sent then. */
    begin(target: string, precedence: Precedence): boolean {
        if (this.isRetry && !this.options.budget.take(precedence)) {
            return false;
        }
        this.arrivals.set(target, this.arrivalsAt(target) + 1);
        return true;
    }

    /** Records that a send ended without a reply. */
    end(target: string, end: AttemptEnd): void {
        this.unknownEnds += end === "unknown" ? 1 : 0;
        if (end !== "neverSent") {
            return;
        }
        const earlierArrivals = this.arrivalsAt(target) - 1;
        if (earlierArrivals > 0) {
            this.arrivals.set(target, earlierArrivals);
        }
        else {
            this.arrivals.delete(target);
        }
        if (this.arrivals.size > 0) {
            this.options.budget.giveBack();
        }
    }

    private arrivalsAt(target: string): number {
        return this.arrivals.get(target) ?? 0;
    }
}
