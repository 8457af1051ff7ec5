import { seededRandom } from "@waxwingspar/utils";
import { performance } from "node:perf_hooks";
import { createPipelines } from "../lib/placement/createPipelines.js";
import { type PipelineStage, type PlacementModel, type PlacementTarget } from "../lib/placement/Pipeline.js";
import { pipelineTime } from "../lib/placement/stageTime.js";
import { equalSplit, greedyByOrder } from "./baselines.js";

/**
 * Compares placement with simple baselines on a random fleet: four kinds of accelerators, links whose bandwidths differ
 * by a factor of 100, and data centres of at most 3,000 targets. Run with
 * `node --expose-gc dist/bench/placementBench.js [seed]`.
 */

interface Kind {
    readonly memory: number;
    readonly speed: number;
}

type Algorithm = (model: PlacementModel, targets: readonly PlacementTarget[], count: number) => PipelineStage[][];

const kinds: readonly Kind[] = [
    { memory: 24e9, speed: 1 },
    { memory: 40e9, speed: 2 },
    { memory: 80e9, speed: 4 },
    { memory: 141e9, speed: 7 },
];
const bandwidths = [1.25e8, 1.25e9, 1.25e10];
const model: PlacementModel = { name: "m", version: "v", layers: 80, layerBytes: 1.75e9, activationBytes: 16_384 };
const stagesPerReplica = 8;
const siteReplicas = 375;
const bytesPerMegabyte = 1_048_576;
const algorithms: Readonly<Record<string, Algorithm>> = {
    "greedy by order": greedyByOrder,
    "equal split": equalSplit,
    placement: (placed, targets, count) => createPipelines(placed, targets, count),
};

/**
 * Creates the targets of a data centre. Targets of the same host, up to eight, share an accelerator kind and a link.
 */
function randomSite(site: number, replicas: number, seed: number): PlacementTarget[] {
    const random = seededRandom(seed + site);
    const targets: PlacementTarget[] = [];
    while (targets.length < replicas * stagesPerReplica) {
        const kind = kinds[random.below(kinds.length)]!;
        const bandwidth = bandwidths[random.below(bandwidths.length)]!;
        const size = 1 + random.below(stagesPerReplica);
        for (let index = 0; index < size; index++) {
            const name = `s${site}-t${targets.length}`;
            targets.push({ name, ...kind, bandwidth, latency: 0.1 });
        }
    }
    return targets.slice(0, replicas * stagesPerReplica);
}

function fleet(replicas: number, seed: number): { targets: PlacementTarget[]; count: number; }[] {
    const sites = Math.ceil(replicas / siteReplicas);
    return Array.from({ length: sites }, (_, site) => {
        const count = Math.floor(replicas / sites) + (site < replicas % sites ? 1 : 0);
        return { targets: randomSite(site, count, seed), count };
    });
}

/** Collects garbage, so that heap figures cover only what the result retains. Has no effect without `--expose-gc`. */
function collectGarbage(): void {
    (globalThis as { gc?: () => void; }).gc?.();
}

function quantile(sorted: readonly number[], part: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN;
}

function measure(name: string, algorithm: Algorithm, replicas: number, seed: number): string {
    const sites = fleet(replicas, seed);
    collectGarbage();
    const heapBefore = process.memoryUsage().heapUsed;
    const cpuBefore = process.cpuUsage();
    const started = performance.now();
    const placed = sites.map(({ targets, count }) => algorithm(model, targets, count));
    const elapsed = performance.now() - started;
    const cpu = process.cpuUsage(cpuBefore);
    collectGarbage();
    const heap = process.memoryUsage().heapUsed - heapBefore;
    const times = sites.flatMap(({ targets }, site) => {
        const byName = new Map(targets.map(target => [target.name, target]));
        return placed[site]!.map(stages => pipelineTime(stages, byName, model));
    });
    const rates = times.map(time => 1000 / time.slowest).sort((a, b) => a - b);
    const totals = times.map(time => time.total).sort((a, b) => a - b);
    return [
        String(replicas),
        name,
        String(times.length),
        rates.reduce((sum, rate) => sum + rate, 0).toFixed(0),
        quantile(rates, 0.05).toFixed(1),
        quantile(totals, 0.5).toFixed(1),
        quantile(totals, 0.95).toFixed(1),
        elapsed.toFixed(0),
        ((cpu.user + cpu.system) / 1000).toFixed(0),
        (heap / bytesPerMegabyte).toFixed(1),
    ].join(" | ");
}

const seed = Number(process.argv[2] ?? 1);
const header = "replicas wanted | algorithm | placed | batch steps/s, all | 5% slowest pipeline, steps/s | "
    + "step p50 ms | step p95 ms | ms | CPU ms | heap kept MB";
process.stdout.write(`seed ${seed}\n${header}\n`);
for (const replicas of [40, 400, 1800, 6700]) {
    for (const [name, algorithm] of Object.entries(algorithms)) {
        process.stdout.write(`${measure(name, algorithm, replicas, seed)}\n`);
    }
}
