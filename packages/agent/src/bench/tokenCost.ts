import { fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { benchLayers, startBenchAgent } from "./benchAgent.js";
import { InstantEngine } from "./InstantEngine.js";
import { type PeerReport, type PeerTask } from "./peers.js";

// Measures the processor time of one agent per token, over real sockets on the loopback address. The agent runs alone
// in this process, and its peers run in another one. Prints one line of JSON for each role.
//
// node packages/agent/dist/bench/tokenCost.js [STREAMS] [TOKENS]

const defaultStreams = 64;
const defaultTokens = 2000;
const microsecondsPerSecond = 1e6;
const ranges = { head: [0, 3], middle: [4, 7], last: [8, 11] } as const;

interface Figures {
    readonly role: PeerTask["role"];
    readonly streams: number;
    readonly tokens: number;
    readonly tokensPerSecond: number;
    /** User and system processor time of this process per token, in microseconds. */
    readonly microsecondsPerToken: number;
    /** User processor time alone, without the kernel's work on sockets. */
    readonly userMicrosecondsPerToken: number;
}

/** Waits for a report of the given kind from the peer process. */
async function reportOf(peers: ReturnType<typeof fork>, kind: PeerReport["kind"]): Promise<void> {
    for (;;) {
        const [report] = await once(peers, "message") as [PeerReport];
        if (report.kind === kind) {
            return;
        }
    }
}

async function measure(role: PeerTask["role"], streams: number, tokens: number): Promise<Figures> {
    const [first, last] = ranges[role];
    const { port } = await startBenchAgent({ name: role, engine: new InstantEngine(first, last, benchLayers) });
    const peers = fork(fileURLToPath(new URL("./peers.js", import.meta.url)));
    await reportOf(peers, "ready");
    const task: PeerTask = { role, port, streams, tokens };
    peers.send(task);
    await reportOf(peers, "started");
    const before = process.cpuUsage();
    const startedAt = performance.now();
    await reportOf(peers, "ended");
    const used = process.cpuUsage(before);
    const seconds = (performance.now() - startedAt) / 1000;
    peers.kill();
    // Every stream received its first token before the measurement began.
    const measured = streams * (tokens - 1);
    return {
        role,
        streams,
        tokens: measured,
        tokensPerSecond: Math.round(measured / seconds),
        microsecondsPerToken: round((used.user + used.system) / measured),
        userMicrosecondsPerToken: round(used.user / measured),
    };
}

/** Returns the processor time of one step of the instant engine, in microseconds. */
async function engineCost(steps: number): Promise<number> {
    const engine = new InstantEngine(0, 3, benchLayers);
    const step = { session: "s", position: 0, count: 1, tokens: [1], sample: false };
    const before = process.cpuUsage();
    for (let index = 0; index < steps; index++) {
        await engine.step(step);
    }
    const used = process.cpuUsage(before);
    return (used.user + used.system) / steps;
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}

function print(value: unknown): void {
    process.stdout.write(`${JSON.stringify(value)}\n`);
}

const [streams = defaultStreams, tokens = defaultTokens] = process.argv.slice(2).map(Number);
await engineCost(microsecondsPerSecond / 10);
print({ engineMicrosecondsPerStep: round(await engineCost(microsecondsPerSecond)) });
for (const role of ["head", "middle", "last"] as const) {
    print(await measure(role, streams, tokens));
}
process.exit(0);
