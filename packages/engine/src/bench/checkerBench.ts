/**
 * Measures the throughput of the history checker in lines per second, and its memory per request, at four sizes.
 * Baseline in the same run: only `JSON.parse` on every line of the same files.
 *
 * Run with `node --expose-gc packages/engine/dist/bench/checkerBench.js`.
 */
import { HistoryChecker, readHistory } from "@waxwingspar/history";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describeMachine, median, writeLine, writeTable } from "./report.js";
import { type SampleShape, writeSampleHistory } from "./writeSampleHistory.js";

const sizes = [250, 500, 1000, 2000];
const rounds = 5;
const shape = { stages: 4, layers: 64, promptTokens: 200, answerTokens: 64 };
const bytesPerKilobyte = 1024;

async function parseFiles(paths: readonly string[]): Promise<void> {
    for (const path of paths) {
        const text = await readFile(path, "utf8");
        for (const line of text.split("\n")) {
            if (line !== "") {
                JSON.parse(line);
            }
        }
    }
}

async function readFiles(paths: readonly string[]): Promise<void> {
    for (const path of paths) {
        await readHistory(path, () => {});
    }
}

/** Checks the files, and returns the bytes that the checker holds before it computes its verdict. */
async function check(paths: readonly string[]): Promise<number> {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const checker = new HistoryChecker();
    for (const path of paths) {
        await readHistory(path, line => checker.take(line));
    }
    globalThis.gc?.();
    const held = process.memoryUsage().heapUsed - before;
    const { violations, rules } = checker.finish();
    if (violations.length > 0 || rules.layers.undecided > 0) {
        throw new Error("the checker reports violations or undecided requests in the sample history, which is valid");
    }
    return held;
}

async function measureTime(work: () => Promise<unknown>): Promise<number> {
    const start = performance.now();
    await work();
    return performance.now() - start;
}

async function measure(folder: string, requests: number): Promise<(string | number)[]> {
    const sample: SampleShape = { ...shape, requests };
    const start = performance.now();
    const { paths, lines } = await writeSampleHistory(folder, sample);
    const written = performance.now() - start;
    const parsed: number[] = [];
    const read: number[] = [];
    const checked: number[] = [];
    const held: number[] = [];
    for (let round = 0; round < rounds; round++) {
        parsed.push(await measureTime(() => parseFiles(paths)));
        read.push(await measureTime(() => readFiles(paths)));
        checked.push(await measureTime(async () => held.push(await check(paths))));
    }
    const perSecond = (times: readonly number[]) => Math.round(lines / median(times) * 1000);
    return [
        requests,
        lines,
        perSecond([written]),
        perSecond(parsed),
        perSecond(read),
        perSecond(checked),
        (median(checked) / median(parsed)).toFixed(2),
        globalThis.gc === undefined ? "not measured" : (median(held) / requests / bytesPerKilobyte).toFixed(2),
    ];
}

writeLine(describeMachine());
writeLine(`${rounds} rounds, medians; ${JSON.stringify(shape)}\n`);
const rows: (string | number)[][] = [];
for (const requests of sizes) {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-bench-"));
    rows.push(await measure(folder, requests));
    await rm(folder, { recursive: true });
}
writeTable(
    [
        "requests",
        "lines",
        "recorded lines/s (one round)",
        "JSON.parse lines/s",
        "readHistory lines/s",
        "checked lines/s",
        "time / JSON.parse",
        "KiB held / request",
    ],
    rows,
);
