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

/** Names one line of a history. @public */
export type LineReference = Pick<HistoryLine, "process" | "incarnation" | "sequence">;

/**
 * A rule that was broken, and by which lines.
 *
 * @public
 */
export interface Violation {
    readonly rule: HistoryRule;
    /** The request, or the caller's request, where the rule is about one. */
    readonly request?: string;
    /** What was expected and what was found. */
    readonly message: string;
    /** The lines that show it. */
    readonly lines: readonly LineReference[];
}

/** What a rule decided. @public */
export interface RuleCount {
    /** Cases in which the rule holds. */
    passed: number;
    /** Cases in which it is broken. */
    violated: number;
    /** Cases that cannot be decided, since lines of a process may be lost. */
    undecided: number;
}

/** @internal */
export interface Finding {
    readonly request?: string;
    readonly message: string;
    readonly lines: readonly LineReference[];
}

/**
 * Collects what the rules decide.
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

    pass(rule: HistoryRule): void {
        this.counts[rule].passed++;
    }

    undecide(rule: HistoryRule): void {
        this.counts[rule].undecided++;
    }

    violate(rule: HistoryRule, finding: Finding): void {
        this.counts[rule].violated++;
        this.violations.push({ rule, ...finding });
    }

    /**
     * Counts one case by what was found in it.
     *
     * @param rule - The rule.
     * @param found - The violations found in the case; none of them if it holds.
     * @param decidable - False if a violation may be hidden in lost lines.
     */
    decide(rule: HistoryRule, found: readonly Finding[], decidable: boolean): void {
        for (const finding of found) {
            this.violate(rule, finding);
        }
        if (found.length > 0) {
            return;
        }
        if (decidable) {
            this.pass(rule);
        }
        else {
            this.undecide(rule);
        }
    }
}

/** @internal */
export function referenceTo({ process, incarnation, sequence }: HistoryLine): LineReference {
    return { process, incarnation, sequence };
}
