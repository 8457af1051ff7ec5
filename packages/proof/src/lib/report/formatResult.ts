import { historyRules } from "@waxwingspar/history";
import { holds, type ScenarioResult } from "./ScenarioResult.js";

const percent = 100;
const columns = [
    "scenario",
    "seed",
    "requests",
    "completed",
    "not run",
    "unknown",
    "repeated",
    "violations",
    "undecided",
    "survived",
    "broken",
    "gap median ms",
    "gap max ms",
    "goodput back ms",
    "lowest rate %",
    "in force ms",
    "holds",
];

/** Formats the header of the result table as Markdown. @internal */
export function tableHead(): string {
    return `| ${columns.join(" | ")} |\n|${columns.map(() => "---").join("|")}|`;
}

/** Formats one row of the result table as Markdown. @internal */
export function tableRow(result: ScenarioResult): string {
    const { scenario, seed, outcomes, repeated, history, recovery } = result;
    const counts = Object.values(outcomes);
    const sum = (pick: (count: typeof counts[number]) => number) => counts.reduce((all, count) => all + pick(count), 0);
    const completed = sum(count => count.completed);
    const notRun = sum(count => count.notRun);
    const unknown = sum(count => count.unknown);
    const cells = [
        scenario,
        seed,
        completed + notRun + unknown,
        completed,
        notRun,
        unknown,
        repeated,
        history.violations.length,
        historyRules.reduce((all, rule) => all + history.rules[rule].undecided, 0),
        recovery.survived,
        recovery.broken,
        rounded(recovery.medianGap),
        rounded(recovery.longestGap),
        rounded(recovery.goodputRecoveryTime, "not"),
        rounded(recovery.lowestRate === undefined ? undefined : recovery.lowestRate * percent),
        rounded(result.longestActivation),
        holds(result) ? "yes" : "NO",
    ];
    return `| ${cells.join(" | ")} |`;
}

/** Formats the counts, violations and checks of a result as readable text. @internal */
export function formatDetails(result: ScenarioResult): string {
    const { history, outcomes, checks } = result;
    const kinds = Object.entries(outcomes).map(([kind, { completed, notRun, unknown }]) =>
        `  ${kind}: ${completed} completed, ${notRun} not run, ${unknown} unknown`
    );
    const failed = Object.entries(result.codes).map(([name, count]) => `  failed attempts: ${name}: ${count}`);
    const rules = historyRules.map(rule => {
        const { passed, violated, undecided } = history.rules[rule];
        return `  ${rule}: ${passed} passed, ${violated} violated, ${undecided} undecided`;
    });
    const violations = history.violations.map(({ rule, request = "", message, lines }) =>
        `  VIOLATION ${rule} ${request}: ${message} (${
            lines.map(line => `${line.process}:${line.sequence}`).join(", ")
        })`
    );
    const checked = checks.map(({ name, holds, detail }) => `  ${holds ? "ok" : "FAILED"} ${name} ${detail}`);
    const { "order.issued": issued = 0, "order.applied": applied = 0 } = history.events;
    const size = `  ${history.lines} lines, ${history.incarnations} incarnations, ${history.tokens} tokens, `
        + `${issued} orders sent, ${result.staleOrders} of them rejected for a stale fencing token, ${applied} carried out`;
    return [size, ...kinds, ...failed, ...rules, ...violations, ...checked].join("\n");
}

function rounded(value: number | undefined, absent = "-"): string {
    return value === undefined ? absent : String(Math.round(value));
}
