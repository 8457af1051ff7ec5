/**
 * Measures the bytes buffered at an entry and at an agent while a plain service's answer of 64 MiB is sent to a slow
 * caller, with and without credit, and the throughput of such an answer to a fast caller. Entry, agent and caller share
 * this process, with real links and sockets between them.
 *
 * Run with `node packages/entry/dist/bench/replyBench.js`.
 */
import { Agent, createDeferredMethods, type ServiceAddress } from "@waxwingspar/agent";
import { resource, specSchemas, StaticConfiguration } from "@waxwingspar/config";
import { FakeEngine } from "@waxwingspar/engine";
import { createWorkQueue } from "@waxwingspar/policy";
import { type Hello, type Link, LinkServer, TcpLinkPool } from "@waxwingspar/transport";
import { SystemClock } from "@waxwingspar/utils";
import { get, type IncomingMessage, ServerResponse } from "node:http";
import { cpus, loadavg } from "node:os";
import { startBenchEntry } from "./startBenchEntry.js";

const answerBytes = 64 * 1024 * 1024;
const pieceBytes = 65_536;
/** Bytes that a slow caller reads before each pause of `slowPause` milliseconds. */
const slowStep = 262_144;
const slowPause = 10;
const rounds = 7;

/** Maximum bytes buffered for one answer. */
class Peaks {
    entry = 0;
    agent = 0;
    /** Bytes that the agent has read from the service and passed to its link. */
    read = 0;
    passed = 0;
    link: Link | undefined;

    start(): void {
        this.entry = 0;
        this.agent = 0;
        this.read = 0;
        this.passed = 0;
    }

    update(): void {
        this.agent = Math.max(this.agent, this.read - this.passed + (this.link?.queuedBytes ?? 0));
    }
}

const peaks = new Peaks();
let credited = true;

/** Records the bytes pending in a response after each write. */
function watchResponses(): void {
    const prototype = ServerResponse.prototype;
    const write = Reflect.get(prototype, "write") as (...parts: unknown[]) => boolean;
    Reflect.set(prototype, "write", function(this: ServerResponse, ...parts: unknown[]): boolean {
        const taken = write.apply(this, parts);
        peaks.entry = Math.max(peaks.entry, this.writableLength);
        return taken;
    });
}

/** Records the bytes that the agent passes to its link. */
function watchAgentLink(link: Link): void {
    const send = link.send.bind(link);
    peaks.link = link;
    link.send = message => {
        send(message);
        if (message.type === "replyBody") {
            peaks.passed += message.data.length;
            peaks.update();
        }
    };
}

/** Removes the credit from calls while `credited` is false, like an entry that does not support credit. */
function watchEntryLink(link: Link): void {
    const send = link.send.bind(link);
    link.send = message => send(message.type === "call" && !credited ? { ...message, credit: undefined } : message);
}

/** A service whose complete answer is available immediately. */
function createDispatcher(): ServiceAddress["dispatcher"] {
    async function* body(): AsyncGenerator<Uint8Array> {
        for (let sent = 0; sent < answerBytes; sent += pieceBytes) {
            await new Promise(resolve => setImmediate(resolve));
            peaks.read += pieceBytes;
            peaks.update();
            yield new Uint8Array(pieceBytes);
        }
    }
    const request = () => Promise.resolve({ statusCode: 200, headers: {}, body: body() });
    return { request, destroy: () => Promise.resolve() } as unknown as ServiceAddress["dispatcher"];
}

function hello(process: string, role: Hello["role"]): Hello {
    return { type: "hello", protocol: 1, process, role, incarnation: `${process}-1`, dataCentre: "d1" };
}

const clock = new SystemClock();
const credentials = { insecure: true } as const;

async function startAgent(): Promise<number> {
    const own = hello("a", "agent");
    const agent: Agent = new Agent({
        target: "a",
        hello: own,
        pool: new TcpLinkPool({ hello: own, credentials, methods: createDeferredMethods(() => agent) }),
        engine: new FakeEngine({ clock, held: [] }),
        configuration: new StaticConfiguration(),
        queue: createWorkQueue({ clock, slots: 8 }),
        service: { name: "records", baseUrl: "http://127.0.0.1:1/", dispatcher: createDispatcher() },
        clock,
    });
    const server = new LinkServer({
        hello: own,
        credentials,
        methods: agent.methods,
        onLink: link => {
            watchAgentLink(link);
            agent.accept(link);
        },
    });
    await agent.start();
    const address = await server.listen();
    if (address.isErr) {
        throw new Error(address.error.message);
    }
    return address.value.port;
}

function startEntry(agentPort: number): Promise<number> {
    const target = { host: "127.0.0.1", port: agentPort, dataCentre: "d1", service: "records", slots: 8 };
    const configuration = new StaticConfiguration();
    configuration.set([
        resource("organisation", "bench", specSchemas.organisation.parse({})),
        resource("service", "records", specSchemas.service.parse({ timeout: 60_000 })),
        resource("target", "a", specSchemas.target.parse(target)),
    ]);
    const links = new TcpLinkPool({ hello: hello("entry", "entry"), credentials });
    links.onOpen(watchEntryLink);
    return startBenchEntry({ links, configuration, dataCentre: "d1" });
}

/** Reads an answer, with pauses if the caller is slow. Returns the bytes received until the end or a disconnection. */
async function read(port: number, slow: boolean): Promise<number> {
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
        get({ host: "127.0.0.1", port, path: "/services/records/samples", agent: false }, resolve).on("error", reject);
    });
    let bytes = 0;
    let step = 0;
    try {
        for await (const chunk of response as AsyncIterable<Buffer>) {
            bytes += chunk.length;
            step += chunk.length;
            if (slow && step >= slowStep) {
                step = 0;
                await new Promise(resolve => setTimeout(resolve, slowPause));
            }
        }
    }
    catch {
        // Disconnected: the number of bytes shows it.
    }
    return bytes;
}

interface Round {
    readonly bytes: number;
    /** Throughput in MiB/s. */
    readonly rate: number;
}

async function measure(port: number, withCredit: boolean, slow: boolean): Promise<Round> {
    credited = withCredit;
    peaks.start();
    const startedAt = performance.now();
    const bytes = await read(port, slow);
    return { bytes, rate: bytes / 1_048_576 / (performance.now() - startedAt) * 1000 };
}

function median(values: readonly number[]): number {
    return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? NaN;
}

function mebibytes(bytes: number): string {
    return (bytes / 1_048_576).toFixed(2);
}

function writeLine(text: string): void {
    process.stdout.write(`${text}\n`);
}

async function main(): Promise<void> {
    watchResponses();
    const port = await startEntry(await startAgent());
    writeLine(`Node ${process.version}, ${cpus().length} processors, load ${loadavg()[0]?.toFixed(1)}; sizes in MiB\n`);
    writeLine("| slow caller | got | peak at the entry | peak at the agent |\n| --- | --- | --- | --- |");
    for (const withCredit of [false, true]) {
        const { bytes } = await measure(port, withCredit, true);
        const cells = [withCredit ? "credit" : "no credit", ...[bytes, peaks.entry, peaks.agent].map(mebibytes)];
        writeLine(`| ${cells.join(" | ")} |`);
    }
    const rates = { credit: [] as number[], none: [] as number[] };
    let whole = 0;
    for (let round = 0; round < rounds; round++) {
        const none = await measure(port, false, false);
        const credit = await measure(port, true, false);
        whole += Number(none.bytes === answerBytes) + Number(credit.bytes === answerBytes);
        rates.none.push(none.rate);
        rates.credit.push(credit.rate);
    }
    const [credit, none] = [median(rates.credit), median(rates.none)];
    writeLine(
        `\nfast caller, median of ${rounds}, MiB/s: credit ${credit.toFixed(0)} / none ${none.toFixed(0)} = ${
            (credit / none).toFixed(2)
        }; ${whole} of ${2 * rounds} answers whole`,
    );
    process.exit();
}

await main();
