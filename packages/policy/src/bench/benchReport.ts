import { type BenchResult, type CaseResult, type ThroughputResult } from "./runBench.js";

const own = "waxwingspar";
const baselines = ["random", "round robin", "least loaded"];
const fifoBaselines = baselines.map(name => `${name}, FIFO queue`);

/** Renders a result as Markdown, with its ratio to an earlier result if one is given. @internal */
export function renderReport(result: BenchResult, earlier: BenchResult | undefined): string {
    const sections = [
        `Seed ${result.seed}${result.quick ? ", quick run" : ""}.`,
        "## Cases",
        caseTable(result),
        "## Against the best baseline",
        "Goodput, in requests per second that end within both bounds.",
        ratioTable(result),
        "## Recovery",
        recoveryTable(result),
        "## Organisations",
        organisationTable(result),
        ...throughputSection(result),
        "## Limits without a shared counter",
        limitTable(result),
        "## Cost of a decision",
        costLine(result),
        ...earlierSection(result, earlier),
    ];
    return `${sections.join("\n\n")}\n`;
}

function caseTable({ cases }: BenchResult): string {
    return table(
        [
            "case",
            "policy",
            "offered/s",
            "goodput/s",
            "first token p95 ms",
            "interval p95 ms",
            "cache hits",
            "retries",
            "refusals",
        ],
        cases.map(row => [
            row.benchCase,
            row.policy,
            row.offered.toFixed(1),
            row.goodput.toFixed(1),
            row.firstToken95.toFixed(0),
            row.interval95.toFixed(1),
            row.cacheHits.toFixed(2),
            String(row.retries),
            String(row.refusals),
        ]),
    );
}

function ratioTable(result: BenchResult): string {
    return ratios(caseNames(result), result.cases, row => row.benchCase, row => row.goodput);
}

/** Compares the own policy in each group with the best baseline router, once with the same queue and once with FIFO. */
function ratios<T extends { readonly policy: string; }>(
    groups: readonly string[],
    rows: readonly T[],
    groupOf: (row: T) => string,
    value: (row: T) => number,
): string {
    const header = ["case", "own", "best, same admission", "its", "ratio", "best, FIFO queue", "its", "ratio"];
    return table(
        header,
        groups.map(group => {
            const inGroup = rows.filter(row => groupOf(row) === group);
            const ownValue = value(inGroup.find(row => row.policy === own)!);
            const compareWith = (names: readonly string[]) => {
                const best = bestOf(inGroup.filter(row => names.includes(row.policy)), value);
                const ratio = value(best) === 0 ? "none reaches it" : (ownValue / value(best)).toFixed(2);
                return [best.policy.replace(", FIFO queue", ""), value(best).toFixed(1), ratio];
            };
            return [group, ownValue.toFixed(1), ...compareWith(baselines), ...compareWith(fifoBaselines)];
        }),
    );
}

function recoveryTable({ cases }: BenchResult): string {
    const seconds = (value: number | undefined) => value === undefined ? "not in the run" : `${value} s`;
    const disturbed = cases.filter(row => "recoveryAfterStart" in row);
    return table(
        ["case", "policy", "after it began", "after it ended"],
        disturbed.map(row => [
            row.benchCase,
            row.policy,
            seconds(row.recoveryAfterStart),
            row.benchCase.startsWith("slow") ? "does not end" : seconds(row.recoveryAfterEnd),
        ]),
    );
}

function organisationTable(result: BenchResult): string {
    const crowded = "organisation 20x";
    const rows = result.cases.filter(row => row.benchCase === crowded);
    return table(
        ["policy", "first organisation, goodput/s", "others, mean goodput/s", "lowest good share of the others"],
        rows.map(row => [
            row.policy,
            row.firstOrganisation.toFixed(1),
            row.otherOrganisations.toFixed(1),
            row.worstShare.toFixed(3),
        ]),
    );
}

function throughputSection({ throughputs }: BenchResult): string[] {
    if (throughputs.length === 0) {
        return [];
    }
    const groups = [...new Set(throughputs.map(groupOf))];
    return [
        "## Throughput within the tail bound",
        "Requests per second at the highest load of which 95 in 100 end within both bounds.",
        ratios(groups, throughputs, groupOf, row => row.throughput),
    ];
}

function groupOf(row: ThroughputResult): string {
    return `${row.benchCase}, ${row.pipelines} pipelines`;
}

function limitTable({ limitErrors }: BenchResult): string {
    return table(
        ["targets", "burst, seconds", "sent / limit", "admitted / allowed"],
        limitErrors.map(row => [
            String(row.targets),
            String(row.burstSeconds),
            String(row.offered),
            row.admitted.toFixed(3),
        ]),
    );
}

function costLine({ decisionCost }: BenchResult): string {
    const { targets, update, chooseMedian, choose99, queueMedian, queue99, waiting } = decisionCost;
    return `With ${targets} targets known: ${
        update.toFixed(1)
    } ms to take in the configuration; a choice with its first`
        + ` token and its end takes ${chooseMedian.toFixed(1)} µs at the median and ${
            choose99.toFixed(1)
        } µs at the 99th`
        + ` percentile. To enter and leave a queue with ${waiting} others waiting takes ${
            queueMedian.toFixed(1)
        } µs and`
        + ` ${queue99.toFixed(1)} µs.`;
}

function earlierSection(result: BenchResult, earlier: BenchResult | undefined): string[] {
    if (earlier === undefined) {
        return [];
    }
    const rows = caseNames(result).map(name => {
        const ownGoodput = find(result, name, own).goodput;
        const before = earlier.cases.find(row => row.benchCase === name && row.policy === own)?.goodput;
        return [
            name,
            before?.toFixed(1) ?? "not run",
            ownGoodput.toFixed(1),
            before === undefined ? "" : (ownGoodput / before).toFixed(3),
        ];
    });
    return ["## Against the earlier run", table(["case", "earlier goodput/s", "goodput/s", "ratio"], rows)];
}

function caseNames({ cases }: BenchResult): string[] {
    return [...new Set(cases.map(row => row.benchCase))];
}

function find({ cases }: BenchResult, benchCase: string, policy: string): CaseResult {
    return cases.find(row => row.benchCase === benchCase && row.policy === policy)!;
}

function bestOf<T>(rows: readonly T[], value: (row: T) => number): T {
    return rows.reduce((best, row) => value(row) > value(best) ? row : best);
}

/** Renders a Markdown table. @internal */
export function table(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const line = (cells: readonly string[]) => `| ${cells.join(" | ")} |`;
    return [line(header), line(header.map(() => "---")), ...rows.map(line)].join("\n");
}
