import { type BenchCase, benchCases } from "./BenchCase.js";
import { ownPolicy, type PolicyOverrides } from "./BenchPolicy.js";
import { table } from "./benchReport.js";
import { runCase } from "./runBench.js";

/** An option to vary, its values, and the cases that show its effect. */
interface Sweep {
    readonly part: keyof PolicyOverrides;
    readonly option: string;
    readonly values: readonly number[];
    readonly cases: readonly string[];
    /** Other options of the same part that are set during the sweep. */
    readonly with?: Readonly<Record<string, number>>;
}

const sweeps: readonly Sweep[] = [
    {
        part: "router",
        option: "subsetSize",
        values: [8, 16, 24, 32, 40],
        with: { wholeRange: 0 },
        cases: ["steady", "skewed prefixes", "slow replica"],
    },
    {
        part: "router",
        option: "choices",
        values: [1, 2, 3, 5, 8],
        cases: ["steady", "skewed prefixes", "late reports"],
    },
    {
        part: "router",
        option: "reportTrust",
        values: [0, 0.25, 0.5, 0.75, 1],
        cases: ["steady", "late reports", "third lost"],
    },
    {
        part: "router",
        option: "reportMemory",
        values: [500, 2000, 5000, 15_000],
        cases: ["steady", "late reports", "third lost"],
    },
    { part: "router", option: "reportHalfLife", values: [500, 2000, 8000], cases: ["steady", "late reports"] },
    {
        part: "router",
        option: "loadWeight",
        values: [0.25, 0.5, 1, 2, 4],
        cases: ["steady", "skewed prefixes", "slow replica"],
    },
    { part: "router", option: "affinityBound", values: [1, 1.25, 1.5, 2, 4], cases: ["skewed prefixes"] },
    { part: "router", option: "cacheHalfLife", values: [5000, 20_000, 60_000, 200_000], cases: ["skewed prefixes"] },
    { part: "router", option: "cacheBlocks", values: [2000, 10_000, 50_000], cases: ["skewed prefixes"] },
    { part: "router", option: "slowFactor", values: [1.5, 2, 3, 5], cases: ["steady", "slow replica", "slow link"] },
    { part: "router", option: "maxEjected", values: [0.1, 0.3, 0.5], cases: ["slow replica", "third lost"] },
    { part: "router", option: "consecutiveFailures", values: [1, 3, 10], cases: ["steady", "third lost"] },
    { part: "router", option: "ejectionTime", values: [1000, 5000, 20_000], cases: ["slow replica", "slow link"] },
    { part: "router", option: "reconnectDelay", values: [100, 500, 2000], cases: ["third lost"] },
    { part: "router", option: "slowStart", values: [0, 1000, 3000, 10_000], cases: ["third lost"] },
    { part: "queue", option: "reserve", values: [0, 0.02, 0.05, 0.1], cases: ["steady", "organisation 20x"] },
    {
        part: "queue",
        option: "headroom",
        values: [0, 0.2, 0.4, 0.6],
        cases: ["steady", "skewed prefixes", "organisation 20x"],
    },
    {
        part: "queue",
        option: "shareTolerance",
        values: [0, 0.8, 2],
        cases: ["steady", "skewed prefixes", "organisation 20x"],
    },
    { part: "queue", option: "caution", values: [0, 0.5, 1, 2], cases: ["steady", "skewed prefixes", "burst 3x"] },
    { part: "queue", option: "memory", values: [5, 20, 80], cases: ["skewed prefixes", "slow replica"] },
    { part: "queue", option: "activeWindow", values: [1000, 5000, 20_000], cases: ["organisation 20x"] },
    { part: "queue", option: "overheadTokens", values: [0, 64, 256], cases: ["steady", "skewed prefixes"] },
    { part: "budget", option: "ratio", values: [0, 0.05, 0.1, 0.3], cases: ["steady", "third lost", "burst 3x"] },
    { part: "budget", option: "capacity", values: [10, 20, 50, 200], cases: ["third lost", "burst 3x"] },
    {
        part: "budget",
        option: "refusalCost",
        values: [0, 0.1, 0.25, 1],
        cases: ["skewed prefixes", "organisation 20x"],
    },
    { part: "budget", option: "baseDelay", values: [0, 10, 25, 100], cases: ["steady", "burst 3x"] },
    { part: "router", option: "minSamples", values: [3, 10, 30], cases: ["steady", "slow replica"] },
    { part: "router", option: "refuseAbove", values: [1, 2, 4, 8], cases: ["steady", "burst 3x"] },
    { part: "router", option: "slowStartFloor", values: [0.05, 0.2, 0.5], cases: ["third lost"] },
    {
        part: "router",
        option: "maxEjectionTime",
        values: [5000, 30_000, 120_000],
        cases: ["third lost", "slow replica"],
    },
    { part: "queue", option: "capacity", values: [4, 32, 256], cases: ["steady", "burst 3x"] },
    { part: "queue", option: "initialHold", values: [500, 5000, 50_000], cases: ["steady"] },
    { part: "queue", option: "initialTokenCost", values: [0.01, 0.1, 1], cases: ["steady"] },
    { part: "budget", option: "memory", values: [10, 50, 200], cases: ["third lost", "burst 3x"] },
    { part: "budget", option: "maxDelay", values: [50, 500, 2000], cases: ["burst 3x"] },
    { part: "budget", option: "trickle", values: [0, 0.1, 1], cases: ["third lost", "burst 3x"] },
];

/** Runs the sweeps of the given options, or all sweeps, and renders each as a Markdown table. @internal */
export function runSweeps(
    options: readonly string[] | "all",
    seeds: readonly number[],
    onTable: (markdown: string) => void,
): void {
    for (
        const sweep of sweeps.filter(({ part, option }) =>
            options === "all" || options.includes(option) || options.includes(`${part}.${option}`)
        )
    ) {
        const cases = sweep.cases.map(caseName => benchCases.find(benchCase => benchCase.name === caseName)!);
        const rows = sweep.values.map(value => [
            String(value),
            ...cases.map(benchCase => cell(sweep, value, benchCase, seeds)),
        ]);
        onTable(table([`${sweep.part} ${sweep.option}`, ...sweep.cases], rows));
    }
}

/**
 * Renders the share of good requests over the seeds. Adds the lowest share among the other organisations in cases with
 * a greedy one, and the mean number of retries in sweeps of the retry budget.
 */
function cell(sweep: Sweep, value: number, benchCase: BenchCase, seeds: readonly number[]): string {
    const policy = ownPolicy({ [sweep.part]: { ...sweep.with, [sweep.option]: value } });
    const results = seeds.map(seed => runCase(benchCase, policy, seed));
    const good = results.reduce((sum, result) => sum + result.goodput, 0);
    const offered = results.reduce((sum, result) => sum + result.offered, 0);
    const retries = results.reduce((sum, result) => sum + result.retries, 0) / seeds.length;
    const parts = [(good / offered).toFixed(3)];
    if (benchCase.greedy !== undefined) {
        parts.push(`others ${Math.min(...results.map(result => result.worstShare)).toFixed(3)}`);
    }
    if (sweep.part === "budget") {
        parts.push(`${retries.toFixed(0)} retries`);
    }
    return parts.join(", ");
}
