import { StaticConfiguration } from "@waxwingspar/config";
import { createWorkQueue } from "@waxwingspar/policy";
import { type Link, type LinkPool, type Message, type OpenMessage } from "@waxwingspar/transport";
import { type Failure, failure, SystemClock, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { Agent } from "../lib/Agent.js";
import { benchHello, benchLayers } from "./benchAgent.js";
import { InstantEngine } from "./InstantEngine.js";

// Measures what the agent itself spends on each token: links hand messages over as they are, without codec and sockets,
// and the engine answers at once. The other end of the links costs a little too; a run without an agent tells how much.
// Prints one line of JSON with the median and the least of several rounds.
//
// node packages/agent/dist/bench/directCost.js [ROUNDS]

const defaultRounds = 15;
const streams = 32;
const tokens = 1000;

/** One end of a link that hands messages over in the next microtask. */
class DirectLink implements Link {
    readonly open = true;
    readonly queuedBytes = 0;
    other: DirectLink | undefined;
    private handler: (message: Message) => void = () => undefined;

    constructor(readonly peer: Link["peer"]) {}

    send(message: Message): void {
        queueMicrotask(() => this.other?.handler(message));
    }

    request(): Promise<Result<unknown, Failure>> {
        return Promise.resolve(Result.err(failure(transportCodes.noSuchMethod, "none here")));
    }

    onMessage(handler: (message: Message) => void): void {
        this.handler = handler;
    }

    onClose(): void {
        // It never closes.
    }

    close(): void {
        // It never closes.
    }
}

/** A link between this process' agent and a peer: the agent's end and the peer's. */
function directPair(peer: string, role: "entry" | "agent"): [DirectLink, DirectLink] {
    const own = new DirectLink(benchHello(peer, role));
    const other = new DirectLink(benchHello("head", "agent"));
    own.other = other;
    other.other = own;
    return [own, other];
}

/** The last stage of the chain: draws a token at once. */
function answerFrames(link: DirectLink): void {
    link.onMessage(message => {
        if (message.type === "join") {
            const { request, epoch } = message;
            link.send({ type: "joined", request, epoch, target: "last", cached: 0 });
        }
        if (message.type === "frame" && !message.prefill) {
            const { request, epoch, position, count } = message;
            const sampled = { type: "sampled", request, epoch, token: 7, text: " word", end: false } as const;
            link.send({ ...sampled, position: position + count });
        }
    });
}

function openMessage(request: string): OpenMessage {
    const stage = { host: "127.0.0.1", port: 1 };
    return {
        type: "open",
        request,
        epoch: 0,
        model: "demo",
        version: "1",
        organisation: "bench",
        priority: 5,
        timeLeft: 600_000,
        firstTokenBound: 600_000,
        prompt: "bench",
        produced: [],
        sampling: { maxTokens: tokens, stop: [] },
        stages: [
            { ...stage, target: "head", first: 0, last: 5 },
            { ...stage, target: "last", first: 6, last: benchLayers - 1 },
        ],
        exporters: [],
        credit: tokens,
    };
}

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
            entry.send(openMessage(`${round}-${index}`));
        }
    });
    await agent.close();
}

/** The same messages and engine calls without an agent: what the peers and the engine cost. */
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
