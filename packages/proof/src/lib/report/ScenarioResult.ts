import { type HistoryReport } from "@waxwingspar/history";
import { type RequestKind, type RequestResult } from "../callers/Callers.js";
import { type Recovery } from "./Recovery.js";

/** The number of requests of one kind by outcome. @internal */
export interface OutcomeCount {
    completed: number;
    notRun: number;
    unknown: number;
}

/** An assertion of a scenario in addition to the rules of the history. @internal */
export interface ScenarioCheck {
    readonly name: string;
    readonly holds: boolean;
    readonly detail: string;
}

/** The result of one scenario. @public */
export interface ScenarioResult {
    readonly scenario: string;
    readonly seed: number;
    readonly outcomes: Readonly<Record<RequestKind, OutcomeCount>>;
    /** The number of failed attempts by request kind, outcome and result code; code 0 if no code was received. */
    readonly codes: Readonly<Record<string, number>>;
    /** The number of requests that their caller attempted more than once. */
    readonly repeated: number;
    readonly history: HistoryReport;
    readonly recovery: Recovery;
    /**
     * Milliseconds from the acceptance of a revision until it is in force, the maximum over all accepted revisions and
     * daemons.
     */
    readonly longestActivation: number | undefined;
    /** The number of orders that targets rejected because of a stale fencing token. */
    readonly staleOrders: number;
    readonly checks: readonly ScenarioCheck[];
}

/** Counts requests by kind and outcome. @internal */
export function countOutcomes(results: readonly RequestResult[]): Record<RequestKind, OutcomeCount> {
    const counts: Record<RequestKind, OutcomeCount> = {
        model: emptyCount(),
        "claimed model": emptyCount(),
        read: emptyCount(),
        publish: emptyCount(),
    };
    for (const { kind, outcome } of results) {
        counts[kind][outcome === "not run" ? "notRun" : outcome]++;
    }
    return counts;
}

/** Counts the failed attempts by request kind, outcome and result code. @internal */
export function countCodes(results: readonly RequestResult[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { kind, attempts } of results) {
        for (const { outcome, code = 0 } of attempts.filter(one => one.outcome !== "completed")) {
            const name = `${kind} ${outcome} ${code}`;
            counts[name] = (counts[name] ?? 0) + 1;
        }
    }
    return counts;
}

/** Whether the history violates no rule and every check of the scenario holds. @internal */
export function holds({ history, checks }: ScenarioResult): boolean {
    return history.violations.length === 0 && checks.every(check => check.holds);
}

function emptyCount(): OutcomeCount {
    return { completed: 0, notRun: 0, unknown: 0 };
}
