import { StaticConfiguration } from "@waxwingspar/config";
import { createWorkQueue } from "@waxwingspar/policy";
import { type LinkPool } from "@waxwingspar/transport";
import { SystemClock } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { Agent } from "../lib/Agent.js";
import { benchHello, benchLayers } from "./benchAgent.js";
import { answerFrames, benchOpen, directPair } from "./DirectLink.js";
import { InstantEngine } from "./InstantEngine.js";

// Measures the agent's own processor time per token: links deliver message objects directly, without codec and sockets,
// and the engine answers immediately. The peers cost a little too; a run without an agent measures their share.
// Prints one line of JSON with the median and the minimum of several rounds.
//
// node packages/agent/dist/bench/directCost.js [ROUNDS]

const defaultRounds = 15;
const streams = 32;
const tokens = 1000;

/** Streams answers through a head agent. */
async function runHead(round: number): Promise<void> {
    const [toLast, last] = directPair("last", "agent");
    answerFrames(last);
    const pool: LinkPool = {
        connect: () => Promise.resolve(Result.ok(toLast)),
        current: () => toLast,
        onOpen: () => undefined,
        close: () => undefined,
    };
    const clock = new SystemClock();
    const agent = new Agent({
        target: "head",
        hello: benchHello("head", "agent"),
        pool,
        engine: new InstantEngine(0, 5, benchLayers),
        configuration: new StaticConfiguration(),
        queue: createWorkQueue({ clock, slots: streams }),
        clock,
    });
    await agent.start();
    agent.accept(toLast);
    const [toEntry, entry] = directPair("entry", "entry");
    agent.accept(toEntry);
    await new Promise<void>(resolve => {
        let ended = 0;
        entry.onMessage(message => {
            if (message.type === "done") {
                ended++;
                if (ended === streams) {
                    resolve();
                }
            }
        });
        for (let index = 0; index < streams; index++) {
            entry.send(benchOpen(`${round}-${index}`, tokens));
        }
    });
    await agent.close();
}

/** Exchanges the same messages and engine calls without an agent, to measure the cost of the peers and the engine. */
async function runWithoutAgent(): Promise<void> {
    const engine = new InstantEngine(0, 5, benchLayers);
    const [toLast, last] = directPair("last", "agent");
    answerFrames(last);
    const [toEntry, entry] = directPair("entry", "entry");
    let received = 0;
    await new Promise<void>(resolve => {
        entry.onMessage(() => {
            received++;
            if (received === streams * tokens) {
                resolve();
            }
        });
        const step = (request: string, position: number): void => {
            void engine.step({ session: request, position, count: 1, tokens: [7], sample: false }).then(result => {
                const data = result.isOk ? result.value.activations : undefined;
                if (data !== undefined) {
                    toLast.send({
                        type: "frame",
                        request,
                        epoch: 0,
                        position,
                        count: 1,
                        layer: 6,
                        prefill: false,
                        data,
                    });
                }
            });
        };
        toLast.onMessage(message => {
            if (message.type === "sampled") {
                const { request, position, token, text } = message;
                toEntry.send({ type: "tokens", request, epoch: 0, position, ids: [token], texts: [text] });
                if (position < tokens) {
                    step(request, position);
                }
            }
        });
        for (let index = 0; index < streams; index++) {
            step(`r${index}`, 0);
        }
    });
}

/** Returns the processor time of a run per token, in microseconds. */
async function cost(run: () => Promise<void>): Promise<number> {
    const before = process.cpuUsage();
    await run();
    const used = process.cpuUsage(before);
    return (used.user + used.system) / (streams * tokens);
}

function summarise(values: readonly number[]): { median: number; least: number; } {
    const sorted = [...values].sort((a, b) => a - b).map(value => Math.round(value * 100) / 100);
    return { median: sorted[Math.floor(sorted.length / 2)] ?? 0, least: sorted[0] ?? 0 };
}

const rounds = Number(process.argv[2] ?? defaultRounds);
const withAgent: number[] = [];
const without: number[] = [];
for (let round = -3; round < rounds; round++) {
    const own = await cost(() => runHead(round));
    const peers = await cost(runWithoutAgent);
    if (round >= 0) {
        withAgent.push(own);
        without.push(peers);
    }
}
const figures = { rounds, headMicrosecondsPerToken: summarise(withAgent), withoutAgent: summarise(without) };
process.stdout.write(`${JSON.stringify(figures)}\n`);
