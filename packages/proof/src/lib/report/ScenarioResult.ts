import { type HistoryReport } from "@waxwingspar/history";
import { type RequestKind, type RequestResult } from "../callers/Callers.js";
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
    /** How many tries of callers failed with which result code; 0 where no code arrived. */
    readonly codes: Readonly<Record<string, number>>;
    /** Requests that needed more than one try of their caller. */
    readonly repeated: number;
    readonly history: HistoryReport;
    readonly recovery: Recovery;
    /** The longest time from acceptance to force over all accepted revisions and daemons, in milliseconds. */
    readonly longestActivation: number | undefined;
    /** Orders of the careless holders that targets refused because of their fence. */
    readonly staleOrders: number;
    readonly checks: readonly ScenarioCheck[];
}

/** Counts requests by kind and outcome. @internal */
export function countOutcomes(ends: readonly RequestResult[]): Record<RequestKind, OutcomeCount> {
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

/** Counts the tries that failed by kind of request, outcome and result code. @internal */
export function countCodes(ends: readonly RequestResult[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { kind, attempts: tries } of ends) {
        for (const { outcome, code = 0 } of tries.filter(one => one.outcome !== "completed")) {
            const name = `${kind} ${outcome} ${code}`;
            counts[name] = (counts[name] ?? 0) + 1;
        }
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
