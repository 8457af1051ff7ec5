/**
 * Measures the CPU time of an entry per streamed token, and the latency that it adds compared with calling a server of
 * the same tokens directly. The entry and the heads run in separate processes.
 *
 * Run with `node packages/entry/dist/bench/entryBench.js`.
 */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { cpus, loadavg } from "node:os";
import { type CallerFigures, runCallers } from "./callers.js";
import { type EntryProcessAnswer, type EntryProcessOptions } from "./entryProcess.js";
import { type HeadProcessOptions, type HeadProcessReady } from "./headProcess.js";

const heads = 16;
const interval = 72;
/** Tokens of an answer: the mean length in the design load. */
const tokensEach = 264;
const streamCounts = [50, 200, 450, 900];
const rounds = 1;
/** Milliseconds over which the requests of a run are started. */
const ramp = 4000;

interface Run {
    readonly figures: CallerFigures;
    /** Microseconds of the entry's CPU time per token. */
    readonly cpuPerToken: number;
    readonly systemShare: number;
    readonly tokensPerSecond: number;
    readonly memory: number;
}

async function startChild<T>(file: string, options: object): Promise<{ child: ChildProcess; answer: T; }> {
    const child = fork(new URL(file, import.meta.url));
    child.send(options);
    const [answer] = await once(child, "message") as [T];
    return { child, answer };
}

async function usage(entry: ChildProcess): Promise<EntryProcessAnswer> {
    const answering = once(entry, "message");
    entry.send("usage");
    const [answer] = await answering as [EntryProcessAnswer];
    return answer;
}

async function measure(entry: ChildProcess, port: number, streams: number, tokens: number): Promise<Run> {
    const before = await usage(entry);
    const startedAt = performance.now();
    const figures = await runCallers({ port, streams, tokensEach: tokens, rounds, ramp });
    const elapsed = performance.now() - startedAt;
    const after = await usage(entry);
    const system = after.system - before.system;
    const total = after.user - before.user + system;
    return {
        figures,
        cpuPerToken: total / figures.tokens,
        systemShare: system / total,
        tokensPerSecond: figures.tokens / elapsed * 1000,
        memory: after.memory,
    };
}

function quantile(values: readonly number[], share: number): number {
    const sorted = Float64Array.from(values).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}

function compare(entry: readonly number[], direct: readonly number[]): string {
    const cells = [0.5, 0.95].map(share => {
        const [through, straight] = [quantile(entry, share), quantile(direct, share)];
        return `${through.toFixed(0)} / ${straight.toFixed(0)} = ${(through / straight).toFixed(2)}`;
    });
    return cells.join(" | ");
}

function writeLine(text: string): void {
    process.stdout.write(`${text}\n`);
}

async function main(): Promise<void> {
    const headProcess = await startChild<HeadProcessReady>(
        "./headProcess.js",
        { heads, interval } satisfies HeadProcessOptions,
    );
    const near = await startChild<EntryProcessAnswer>(
        "./entryProcess.js",
        {
            heads: headProcess.answer.heads,
        } satisfies EntryProcessOptions,
    );
    const { child, answer: { port } } = near;
    await measure(child, port, 100, 64);
    await runCallers({ port: headProcess.answer.direct, streams: 100, tokensEach: 64, rounds, ramp });
    const processors = cpus();
    writeLine(
        `Node ${process.version}, ${processors.length} x ${processors[0]?.model.trim()}, load ${
            loadavg()[0]?.toFixed(1)
        }`,
    );
    writeLine(`${heads} heads, a token each ${interval} ms, ${tokensEach} tokens an answer; times in microseconds\n`);
    writeLine(
        "| streams | tokens/s | entry CPU per token | of it system | entry memory, MB | failed "
            + "| token p50, entry / direct | token p95 | first token p50 | first token p95 |",
    );
    writeLine(`|${" --- |".repeat(10)}`);
    for (const streams of streamCounts) {
        const direct = await runCallers({ port: headProcess.answer.direct, streams, tokensEach, rounds, ramp });
        const run = await measure(child, port, streams, tokensEach);
        const { figures } = run;
        const cells = [
            streams,
            run.tokensPerSecond.toFixed(0),
            run.cpuPerToken.toFixed(1),
            run.systemShare.toFixed(2),
            (run.memory / 1e6).toFixed(0),
            figures.failed + direct.failed,
            compare(figures.tokenDelays, direct.tokenDelays),
            compare(figures.firstTokens, direct.firstTokens),
        ];
        writeLine(`| ${cells.join(" | ")} |`);
    }
    child.send("stop");
    headProcess.child.kill();
}

await main();
