import { type RepeatBudget } from "./RepeatBudget.js";

/** What is known when a send has ended without a reply: the two first are promises that nothing ran. */
export type AttemptEnd = "neverSent" | "neverExecuted" | "unknown";

/** Options of {@link AttemptLimits}. */
export interface AttemptLimitsOptions {
    readonly budget: Pick<RepeatBudget, "hasLeft" | "take" | "giveBack">;
    /** Targets that the route lets a request be sent to. */
    readonly maxAttempts: number;
}

/**
 * Counts the sends of one request, against the attempts of its route and the retry budget of its service. A send that
 * never arrived counts for neither: when a data centre's first target was lost, such sends used up the budget that other
 * streams needed.
 */
export class AttemptLimits {
    private arrivals = 0;
    private unknownEnds = 0;

    constructor(private readonly options: AttemptLimitsOptions) {}

    /** True once an attempt has ended of which nobody can say that it did not run. */
    get mayHaveRun(): boolean {
        return this.unknownEnds > 0;
    }

    /** Whether the next send is a repeat, which the retry budget must allow. */
    get isRepeat(): boolean {
        return this.arrivals > 0;
    }

    /** Whether the route allows another send. */
    get hasAttemptLeft(): boolean {
        return this.arrivals < this.options.maxAttempts;
    }

    /** Whether a send that is under way may be given up for a repeat: it goes on when the budget would not allow that. */
    get mayReplaceSend(): boolean {
        return this.hasAttemptLeft && this.options.budget.hasLeft();
    }

    /** Whether the retry budget allows the next send, if it is a repeat. */
    get mayBegin(): boolean {
        return !this.isRepeat || this.options.budget.hasLeft();
    }

    /** Counts a send. @returns False when the retry budget does not allow it; then it must not be sent. */
    begin(): boolean {
        if (this.isRepeat && !this.options.budget.take()) {
            return false;
        }
        this.arrivals++;
        return true;
    }

    /** Counts the end of a send that brought no reply. */
    end(end: AttemptEnd): void {
        this.unknownEnds += end === "unknown" ? 1 : 0;
        if (end !== "neverSent") {
            return;
        }
        this.arrivals--;
        if (this.arrivals > 0) {
            this.options.budget.giveBack();
        }
    }
}
