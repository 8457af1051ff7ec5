import { type HistoryReport } from "@waxwingspar/history";
import { type RequestEnd, type RequestKind } from "../callers/Callers.js";
import { type Recovery } from "./Recovery.js";

/** How many requests of one kind ended how. @internal */
export interface OutcomeCount {
    completed: number;
    notRun: number;
    unknown: number;
}

/** Something that a scenario asserts beside the history. @internal */
export interface ScenarioCheck {
    readonly name: string;
    readonly holds: boolean;
    readonly detail: string;
}

/** What came of one scenario. @public */
export interface ScenarioResult {
    readonly scenario: string;
    readonly seed: number;
    readonly outcomes: Readonly<Record<RequestKind, OutcomeCount>>;
    /** Requests that needed more than one try of their caller. */
    readonly repeated: number;
    readonly history: HistoryReport;
    readonly recovery: Recovery;
    /** The longest time from acceptance to force over all accepted revisions and daemons, in milliseconds. */
    readonly longestActivation: number | undefined;
    readonly checks: readonly ScenarioCheck[];
}

/** Counts requests by kind and outcome. @internal */
export function countOutcomes(ends: readonly RequestEnd[]): Record<RequestKind, OutcomeCount> {
    const counts: Record<RequestKind, OutcomeCount> = {
        model: emptyCount(),
        "claimed model": emptyCount(),
        read: emptyCount(),
        publish: emptyCount(),
    };
    for (const { kind, outcome } of ends) {
        counts[kind][outcome === "not run" ? "notRun" : outcome]++;
    }
    return counts;
}

/** Whether nothing is broken. @internal */
export function holds({ history, checks }: ScenarioResult): boolean {
    return history.violations.length === 0 && checks.every(check => check.holds);
}

function emptyCount(): OutcomeCount {
    return { completed: 0, notRun: 0, unknown: 0 };
}
