/**
 * Measures how many lines a second the history checker takes, and its memory for each request, at four sizes.
 * Baseline in the same run: reading the same files with `JSON.parse` and nothing else.
 *
 * Run with `node --expose-gc packages/engine/dist/bench/checkerBench.js`.
 */
import { HistoryChecker, readHistory } from "@waxwingspar/history";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { machine, median, writeLine, writeTable } from "./report.js";
import { type SampleShape, writeSampleHistory } from "./writeSampleHistory.js";

const sizes = [250, 500, 1000, 2000];
const rounds = 5;
const shape = { stages: 4, layers: 64, promptTokens: 200, answerTokens: 64 };
const bytesPerKilobyte = 1024;

async function parseOnly(paths: readonly string[]): Promise<void> {
    for (const path of paths) {
        const text = await readFile(path, "utf8");
        for (const line of text.split("\n")) {
            if (line !== "") {
                JSON.parse(line);
            }
        }
    }
}

async function readOnly(paths: readonly string[]): Promise<void> {
    for (const path of paths) {
        await readHistory(path, () => {});
    }
}

/** Checks the files, and returns the bytes that the checker holds before it decides. */
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
        throw new Error("the sample history must be valid");
    }
    return held;
}

async function timed(work: () => Promise<unknown>): Promise<number> {
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
        parsed.push(await timed(() => parseOnly(paths)));
        read.push(await timed(() => readOnly(paths)));
        checked.push(await timed(async () => held.push(await check(paths))));
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

writeLine(machine());
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
