/**
 * Measures the cost of a step over HTTP at several numbers of concurrent sessions. The engine runs in a separate
 * process, so the processor time is that of `HttpEngine`. Baselines in the same run: direct calls to the fake engine,
 * and `HttpEngine` with one request per step.
 *
 * Run with `node packages/engine/dist/bench/httpEngineBench.js`.
 */
import { SystemClock } from "@waxwingspar/utils";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { type Engine, type Step } from "../lib/Engine.js";
import { EngineClient } from "../lib/http/EngineClient.js";
import { StepBatcher } from "../lib/http/StepBatcher.js";
import { HttpEngine } from "../lib/HttpEngine.js";
import { benchSession, instantEngine } from "./instantEngine.js";
import { describeMachine, median, quantile, writeLine, writeTable } from "./report.js";

const concurrencies = [1, 8, 32, 128];
const rounds = 7;
const stepsPerRound = 6000;
const frameLimit = 1 << 20;
const timeout = 60_000;
const connections = 32;
const clock = new SystemClock();

interface Candidate {
    readonly name: string;
    readonly engine: Engine;
    /** Runs a step through the measured variant. */
    readonly step: (step: Step) => Promise<{ readonly isOk: boolean; }>;
}

interface Measurement {
    /** Processor time of this process in microseconds per step. */
    readonly processor: number;
    readonly stepsPerSecond: number;
    /** Latency of each step in milliseconds. */
    readonly latencies: readonly number[];
}

let sessionNumber = 0;

async function measure({ engine, step }: Candidate, concurrency: number): Promise<Measurement> {
    const sessions = Array.from({ length: concurrency }, () => `session ${sessionNumber++}`);
    await Promise.all(sessions.map(session => engine.open(benchSession(session))));
    const latencies: number[] = [];
    const stepsEach = Math.ceil(stepsPerRound / concurrency);
    const usage = process.cpuUsage();
    const start = performance.now();
    await Promise.all(sessions.map(async session => {
        for (let position = 0; position < stepsEach; position++) {
            const sent = performance.now();
            const outcome = await step({ session, position, count: 1, tokens: [position], sample: true });
            latencies.push(performance.now() - sent);
            if (!outcome.isOk) {
                throw new Error("a step failed");
            }
        }
    }));
    const elapsed = performance.now() - start;
    const { user, system } = process.cpuUsage(usage);
    await Promise.all(sessions.map(session => engine.close(session)));
    const steps = stepsEach * concurrency;
    return { processor: (user + system) / steps, stepsPerSecond: steps / elapsed * 1000, latencies };
}

/** Sends one request per step, by using a separate batcher for each step. */
function createUnbatchedCandidate(engine: HttpEngine, origin: string): Candidate {
    const client = new EngineClient({ clock, origin, connections, connectTimeout: timeout });
    return {
        name: "one request a step",
        engine,
        step: step => new StepBatcher(client, timeout, frameLimit).submit(step),
    };
}

async function startServer(): Promise<{ child: ChildProcess; port: number; }> {
    const child = fork(new URL("./engineServerProcess.js", import.meta.url));
    const [port] = await once(child, "message") as [number];
    return { child, port };
}

async function compare(candidates: readonly Candidate[], concurrency: number): Promise<(string | number)[][]> {
    const results = new Map<Candidate, Measurement[]>(candidates.map(candidate => [candidate, []]));
    for (let round = 0; round <= rounds; round++) {
        for (const candidate of candidates) {
            const result = await measure(candidate, concurrency);
            // The first round is a warm-up.
            if (round > 0) {
                results.get(candidate)?.push(result);
            }
        }
    }
    const processorOf = (measurements: readonly Measurement[]) => median(measurements.map(result => result.processor));
    const direct = processorOf([...results.values()][0] ?? []);
    return [...results].map(([{ name }, measurements]) => {
        const latencies = measurements.flatMap(result => result.latencies);
        const processor = processorOf(measurements);
        return [
            name,
            concurrency,
            processor.toFixed(1),
            (processor / direct).toFixed(1),
            Math.round(median(measurements.map(result => result.stepsPerSecond))),
            quantile(latencies, 0.5).toFixed(3),
            quantile(latencies, 0.95).toFixed(3),
        ];
    });
}

const { child, port } = await startServer();
const origin = `http://127.0.0.1:${port}`;
const local = instantEngine(clock);
const remote = new HttpEngine({ clock, origin, connections });
const candidates: Candidate[] = [
    { name: "direct call", engine: local, step: step => local.step(step) },
    createUnbatchedCandidate(remote, origin),
    { name: "HttpEngine", engine: remote, step: step => remote.step(step) },
];
writeLine(describeMachine());
writeLine(`${rounds} rounds of ${stepsPerRound} steps, medians over rounds, latencies over all steps\n`);
const rows: (string | number)[][] = [];
for (const concurrency of concurrencies) {
    rows.push(...await compare(candidates, concurrency));
}
writeTable(
    ["variant", "sessions at once", "µs of processor / step", "ratio to direct", "steps/s", "p50 ms", "p95 ms"],
    rows,
);
child.disconnect();
process.exit(0);
