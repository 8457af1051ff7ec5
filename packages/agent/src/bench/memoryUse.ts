import { encodeClaim, shortHash } from "@waxwingspar/claims";
import { StaticConfiguration } from "@waxwingspar/config";
import { createWorkQueue } from "@waxwingspar/policy";
import { ManualClock, SystemClock, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { Agent } from "../lib/Agent.js";
import { AttemptTable } from "../lib/AttemptTable.js";
import { ClaimTable } from "../lib/claims/ClaimTable.js";
import { benchHello, benchLayers } from "./benchAgent.js";
import { answerFrames, benchOpen, directPair } from "./DirectLink.js";
import { InstantEngine } from "./InstantEngine.js";

// Measures the memory that an agent keeps for a finished request, for a claim whose answer was dropped, and for an open
// stream at its head. Prints one line of JSON, in bytes of the JavaScript heap.
//
// node --expose-gc packages/agent/dist/bench/memoryUse.js

const finishedRequests = 20_000;
const claims = 50_000;
const streams = 4000;
const promptLength = 2000;

/** Creates an id as a decoded message contains it: a flat string instead of a concatenation of parts. */
function flatId(): string {
    return Buffer.from(uniqueId()).toString("latin1");
}

function heapUsed(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}

/** Returns the bytes per object that `make` creates. The object it returns must keep all of them reachable. */
async function bytesEach(count: number, make: () => Promise<object>): Promise<number> {
    const before = heapUsed();
    const kept = await make();
    const used = heapUsed() - before;
    return Object.keys(kept).length >= 0 ? Math.round(used / count) : 0;
}

function finishRequests(): Promise<object> {
    const table = new AttemptTable({ clock: new ManualClock(), limit: finishedRequests, retention: 1e9 });
    for (let index = 0; index < finishedRequests; index++) {
        const request = flatId();
        table.begin(request, { epoch: 0, supersede: () => undefined });
        table.end(request, 0);
    }
    return Promise.resolve(table);
}

function dropAnswers(): Promise<object> {
    const clock = new ManualClock();
    const runner = { target: "target-1", incarnation: flatId() };
    const limits = { limit: claims, bytes: 0, answerRetention: 0, retention: 1e9, resumeWindow: 0 };
    const table = new ClaimTable<string, string>({ ...runner, ...limits, clock });
    for (let generation = 0; generation < claims; generation++) {
        const identity = { route: "demo", organisation: "ports", series: "7", generation, runner };
        const claim = encodeClaim({ ...identity, keyHash: shortHash(`key ${generation}`) });
        const admitted = table.admit({ claim, request: flatId(), route: "demo", organisation: "ports" });
        if (admitted.isOk) {
            admitted.value.record.append("answer", 30);
            table.ended(admitted.value.record, "end");
        }
    }
    return Promise.resolve(table);
}

/** Opens streams whose callers have accepted one token and grant no further credit. */
async function openStreams(): Promise<object> {
    const [toLast, last] = directPair("last", "agent");
    answerFrames(last);
    const connect = (): Promise<ReturnType<typeof Result.ok<typeof toLast, never>>> =>
        Promise.resolve(Result.ok<typeof toLast, never>(toLast));
    const clock = new SystemClock();
    const agent = new Agent({
        target: "head",
        hello: benchHello("head", "agent"),
        pool: { connect, current: () => toLast, onOpen: () => undefined, close: () => undefined },
        engine: new InstantEngine(0, 5, benchLayers),
        configuration: new StaticConfiguration(),
        queue: createWorkQueue({ clock, slots: 2 * streams, tokenBound: 1e9 }),
        clock,
    });
    await agent.start();
    agent.accept(toLast);
    const [toEntry, entry] = directPair("entry", "entry");
    agent.accept(toEntry);
    await new Promise<void>(resolve => {
        let started = 0;
        entry.onMessage(message => {
            started += message.type === "tokens" ? 1 : 0;
            if (started === streams) {
                resolve();
            }
        });
        for (let index = 0; index < streams; index++) {
            const open = benchOpen(flatId(), 100, 1);
            entry.send({ ...open, prompt: "x".repeat(promptLength) });
        }
    });
    return agent;
}

const figures = {
    finishedRequest: await bytesEach(finishedRequests, finishRequests),
    claimWithoutAnswer: await bytesEach(claims, dropAnswers),
    openStream: await bytesEach(streams, openStreams),
};
process.stdout.write(`${JSON.stringify(figures)}\n`);
process.exit(0);
