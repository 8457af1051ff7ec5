import { type HistoryLine } from "../HistoryEvent.js";

/** The names of the rules, as docs/HISTORY.md explains them. @public */
export const historyRules = [
    "recording",
    "layers",
    "delivery",
    "answers",
    "not-run",
    "at-most-once",
    "leaving",
    "stops",
    "configuration",
    "orders",
    "writes",
] as const;

/**
 * One of {@link historyRules}.
 *
 * @public
 */
export type HistoryRule = (typeof historyRules)[number];

/** Identifies one line of a history. @public */
export type LineReference = Pick<HistoryLine, "process" | "incarnation" | "sequence">;

/**
 * A violation of a rule, and the lines that show it.
 *
 * @public
 */
export interface Violation {
    readonly rule: HistoryRule;
    /** The request, or the caller's request, if the rule concerns one. */
    readonly request?: string;
    /** What was expected and what was found. */
    readonly message: string;
    /** The lines that show the violation. */
    readonly lines: readonly LineReference[];
}

/** Number of cases of a rule, by result. @public */
export interface RuleCount {
    /** Cases in which the rule holds. */
    passed: number;
    /** Cases in which the rule is violated. */
    violated: number;
    /** Cases that cannot be decided because lines of a process may be lost. */
    undecided: number;
}

/** @internal */
export interface Finding {
    readonly request?: string;
    readonly message: string;
    readonly lines: readonly LineReference[];
}

/**
 * Collects the results of all rules.
 *
 * @internal
 */
export class Findings {
    readonly violations: Violation[] = [];
    readonly counts: Record<HistoryRule, RuleCount>;

    constructor() {
        const entries = historyRules.map(rule => [rule, { passed: 0, violated: 0, undecided: 0 }] as const);
        this.counts = Object.fromEntries(entries) as Record<HistoryRule, RuleCount>;
    }

    countPassed(rule: HistoryRule): void {
        this.counts[rule].passed++;
    }

    countUndecided(rule: HistoryRule): void {
        this.counts[rule].undecided++;
    }

    addViolation(rule: HistoryRule, finding: Finding): void {
        this.counts[rule].violated++;
        this.violations.push({ rule, ...finding });
    }

    /**
     * Counts one case: as violated, passed or undecided.
     *
     * @param rule - The rule.
     * @param found - The violations found in the case; empty if none was found.
     * @param decidable - False if lost lines may hide a violation.
     */
    addCase(rule: HistoryRule, found: readonly Finding[], decidable: boolean): void {
        for (const finding of found) {
            this.addViolation(rule, finding);
        }
        if (found.length > 0) {
            return;
        }
        if (decidable) {
            this.countPassed(rule);
        }
        else {
            this.countUndecided(rule);
        }
    }
}

/** @internal */
export function referenceTo({ process, incarnation, sequence }: HistoryLine): LineReference {
    return { process, incarnation, sequence };
}
