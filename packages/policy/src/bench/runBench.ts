import { type BenchCase, benchCases, runTime } from "./BenchCase.js";
import { baselinePolicies, type BenchPolicy, fifoPolicies, ownPolicy } from "./BenchPolicy.js";
import { BenchWorld } from "./BenchWorld.js";
import { type DecisionCost, measureDecisionCost } from "./decisionCost.js";
import { type LimitError, measureLimitErrors } from "./limitError.js";
import { type Measurement } from "./Measurement.js";

/** The share of requests that must end within the bounds for a load to count as served. */
const contractShare = 0.95;
/** The range of loads that is searched. */
const lowestLoad = 0.05;
const highestLoad = 1.3;
/** Number of bisection steps in the search for the highest load served; the last step is 0.02. */
const searchSteps = 6;
/** Cases whose highest load is searched for. */
const searchCases = ["steady", "skewed prefixes", "slow replica", "slow link", "late reports"];
/** Number of pipelines in a quick run. */
const quickPipelines = 12;
const searchPolicies = [
    ownPolicy(),
    ...baselinePolicies,
    ...fifoPolicies.filter(({ name }) => name.startsWith("round robin")),
];

/** The result of one policy in one case. */
export interface CaseResult {
    readonly benchCase: string;
    readonly policy: string;
    /** Offered requests per second. */
    readonly offered: number;
    /** Requests per second that ended within the bounds. */
    readonly goodput: number;
    /** 95th percentile of the time to first token, in milliseconds, over the requests that got a token. */
    readonly firstToken95: number;
    /** 95th percentile of the time between tokens, in milliseconds. */
    readonly interval95: number;
    /** The share of prompt blocks that were cached on every stage. */
    readonly cacheHits: number;
    readonly attempts: number;
    readonly retries: number;
    readonly refusals: number;
    /** Seconds to recover after the start of a disturbance; undefined without recovery during the run. */
    readonly recoveryAfterStart?: number;
    /** Seconds to recover after the end of a disturbance; undefined without recovery during the run. */
    readonly recoveryAfterEnd?: number;
    /** Goodput of the first organisation, in requests per second. */
    readonly firstOrganisation: number;
    /** Mean goodput of the other organisations, in requests per second. */
    readonly otherOrganisations: number;
    /** The lowest share of good requests among the other organisations. */
    readonly worstShare: number;
}

/** The highest load that a policy serves within the tail bound. */
export interface ThroughputResult {
    readonly benchCase: string;
    readonly policy: string;
    readonly pipelines: number;
    /** Goodput in requests per second at the highest load of which at least 95% ends within the bounds; 0 for none. */
    readonly throughput: number;
}

/** All results of a run of the benchmark. */
export interface BenchResult {
    readonly seed: number;
    readonly quick: boolean;
    readonly cases: readonly CaseResult[];
    readonly throughputs: readonly ThroughputResult[];
    readonly limitErrors: readonly LimitError[];
    readonly decisionCost: DecisionCost;
}

/** @internal */
export interface BenchSettings {
    readonly seed: number;
    /** True for fewer pipelines and no search for the highest load. */
    readonly quick: boolean;
    readonly onProgress: (line: string) => void;
}

/** Runs all cases under all policies. @internal */
export function runBench(settings: BenchSettings): BenchResult {
    const { seed, quick, onProgress } = settings;
    const pipelines = quick ? quickPipelines : undefined;
    const cases: CaseResult[] = [];
    for (const benchCase of benchCases) {
        for (const policy of [ownPolicy(), ...baselinePolicies, ...fifoPolicies]) {
            onProgress(`${benchCase.name}: ${policy.name}`);
            cases.push(runCase(benchCase, policy, seed, pipelines));
        }
    }
    const throughputs = quick ? [] : searchThroughputs(settings);
    onProgress("cost of a choice");
    return {
        seed,
        quick,
        cases,
        throughputs,
        limitErrors: measureLimitErrors(seed),
        decisionCost: measureDecisionCost(seed),
    };
}

/** Runs one case under one policy. @internal */
export function runCase(benchCase: BenchCase, policy: BenchPolicy, seed: number, pipelines?: number): CaseResult {
    const measurement = new BenchWorld(benchCase, policy, seed, pipelines).run();
    const [first = 0, ...others] = Array.from({ length: 10 }, (_, index) => measurement.organisationGoodput(index));
    return {
        benchCase: benchCase.name,
        policy: policy.name,
        offered: measurement.rate("offered"),
        goodput: measurement.rate("good"),
        firstToken95: measurement.p95(measurement.firstTokens),
        interval95: measurement.p95(measurement.intervals),
        cacheHits: measurement.cachedBlocks / Math.max(1, measurement.promptBlocks),
        attempts: measurement.attempts,
        retries: measurement.retries,
        refusals: measurement.refusals,
        ...recoveries(benchCase, measurement),
        firstOrganisation: first,
        otherOrganisations: others.reduce((sum, goodput) => sum + goodput, 0) / others.length,
        worstShare: Math.min(...measurement.goodShares().slice(1)),
    };
}

function recoveries(benchCase: BenchCase, measurement: Measurement) {
    const disturbance = benchCase.burst ?? benchCase.fault;
    if (disturbance === undefined) {
        return {};
    }
    const { from, to } = disturbance;
    return {
        recoveryAfterStart: measurement.recovery(from, from),
        recoveryAfterEnd: to < runTime ? measurement.recovery(to, from) : undefined,
    };
}

function searchThroughputs({ seed, onProgress }: BenchSettings): ThroughputResult[] {
    const results: ThroughputResult[] = [];
    const search = (benchCase: BenchCase, pipelines: number) => {
        for (const policy of searchPolicies) {
            onProgress(`highest load, ${benchCase.name}, ${pipelines} pipelines: ${policy.name}`);
            const throughput = searchThroughput(benchCase, policy, seed, pipelines);
            results.push({ benchCase: benchCase.name, policy: policy.name, pipelines, throughput });
        }
    };
    benchCases.filter(({ name }) => searchCases.includes(name)).forEach(benchCase => search(benchCase, 40));
    benchCases.filter(({ name }) => name === "slow replica").forEach(benchCase => search(benchCase, 10));
    return results;
}

function searchThroughput(benchCase: BenchCase, policy: BenchPolicy, seed: number, pipelines: number): number {
    let served = lowestLoad;
    let notServed = highestLoad;
    let throughput = 0;
    for (let step = 0; step < searchSteps; step++) {
        const load = (served + notServed) / 2;
        const { offered, goodput } = runCase({ ...benchCase, load }, policy, seed, pipelines);
        if (goodput >= contractShare * offered) {
            served = load;
            throughput = goodput;
        }
        else {
            notServed = load;
        }
    }
    return throughput;
}
