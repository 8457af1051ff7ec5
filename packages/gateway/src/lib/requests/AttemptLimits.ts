import { type Precedence } from "./precedence.js";
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
 * Counts the sends of one request, against the attempts of its route and the retry budget of its service. The attempts are the
 * targets that a request may be sent to: one that turned it away may be asked again. A send that never arrived counts for neither: when a
 * data centre's first target was lost, such sends used up the budget that other streams needed.
 */
export class AttemptLimits {
    /** How often the request arrived at each target. */
    private readonly arrivals = new Map<string, number>();
    private unknownEnds = 0;

    constructor(private readonly options: AttemptLimitsOptions) {}

    /** True once an attempt has ended of which nobody can say that it did not run. */
    get mayHaveRun(): boolean {
        return this.unknownEnds > 0;
    }

    /** Whether the next send is a repeat, which the retry budget must allow. */
    get isRepeat(): boolean {
        return this.arrivals.size > 0;
    }

    /** Whether the route allows another target. */
    get hasAttemptLeft(): boolean {
        return this.arrivals.size < this.options.maxAttempts;
    }

    /** Whether the request may be sent to a target: one that it has reached, or one more of those that the route allows. */
    maySendTo(target: string): boolean {
        return this.hasAttemptLeft || this.arrivals.has(target);
    }

    /** Whether the retry budget allows the next send, if it is a repeat. */
    mayBegin(precedence: Precedence): boolean {
        return !this.isRepeat || this.options.budget.hasLeft(precedence);
    }

    /** Counts a send. @returns False when the retry budget does not allow it; then it must not be sent. */
    begin(target: string, precedence: Precedence): boolean {
        if (this.isRepeat && !this.options.budget.take(precedence)) {
            return false;
        }
        this.arrivals.set(target, this.arrivalsAt(target) + 1);
        return true;
    }

    /** Counts the end of a send that brought no reply. */
    end(target: string, end: AttemptEnd): void {
        this.unknownEnds += end === "unknown" ? 1 : 0;
        if (end !== "neverSent") {
            return;
        }
        const others = this.arrivalsAt(target) - 1;
        if (others > 0) {
            this.arrivals.set(target, others);
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
