import { findPorts, SiteProcess } from "@waxwingspar/proof";
import { mkdtemp, rm } from "node:fs/promises";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { openSockets, peakMemory } from "./ProcessMemory.js";

/** Options of {@link LocalSiteUnderTest}. */
export interface LocalSiteUnderTestOptions {
    /** Descriptors that the machine gives to sockets; by default as many as this one does. */
    readonly sockets?: number;
}

/** Descriptors of a machine that are for files. */
const fileDescriptors = 200;

const host = "127.0.0.1";
/** Half of the machine's memory, as V8 limits its heap by default. */
const heapMegabytes = 175;
const bytesPerMegabyte = 1_000_000;
const success = 200;
const completion = JSON.stringify({ model: "demo", prompt: "The mast", max_tokens: 2 });
/** Milliseconds without an answer after which an ordinary caller disconnects. */
const patience = 3_000;
const pollInterval = 50;
const command = fileURLToPath(new URL("../../../cli/dist/bin.js", import.meta.url));

/** One process with an entry of the own interface and the stand-ins that it needs. */
export class LocalSiteUnderTest {
    private ports = { callers: 0, operators: 0 };
    private folder = "";
    private process: SiteProcess | undefined;

    constructor(private readonly options: LocalSiteUnderTestOptions = {}) {}

    get callerPort(): number {
        return this.ports.callers;
    }

    get operatorPort(): number {
        return this.ports.operators;
    }

    async start(): Promise<void> {
        const { sockets } = this.options;
        this.folder = await mkdtemp(join(tmpdir(), "waxwingspar-abuse-"));
        const [callers = 0, operators = 0] = await findPorts(host, 2);
        this.ports = { callers, operators };
        this.process = new SiteProcess({
            name: "local",
            command: [command, "local", "--callers", `${host}:${callers}`, "--operators", `${host}:${operators}`],
            log: join(this.folder, "local.log"),
            heapMegabytes,
            maxDescriptors: sockets === undefined ? undefined : sockets + fileDescriptors,
            readyUrl: `http://${host}:${callers}/readyz`,
        });
        await this.process.ready();
        await this.serveOrdinaryCaller();
    }

    get isRunning(): boolean {
        return this.process?.running === true;
    }

    /** The largest resident memory so far, in megabytes of a million bytes. */
    get peakMegabytes(): number {
        return peakMemory(this.process?.pid ?? 0) / bytesPerMegabyte;
    }

    get openSockets(): number {
        return openSockets(this.process?.pid ?? 0);
    }

    /** Whether the operators' endpoint answers. */
    async isObservable(): Promise<boolean> {
        return await statusOf(this.ports.operators, "/healthz") === success;
    }

    /** Asks for a short completion as an ordinary caller, who returns after a refusal, until it is served. */
    async serveOrdinaryCaller(): Promise<void> {
        while (this.isRunning) {
            if (await statusOf(this.ports.callers, "/v1/completions", completion) === success) {
                return;
            }
            await pause(pollInterval);
        }
        throw new Error(`the site ended: ${this.process?.end ?? ""}`);
    }

    async stop(): Promise<void> {
        await this.process?.kill();
        await rm(this.folder, { recursive: true });
    }
}

/** Makes a request on a connection of its own. @returns The status of a complete answer, otherwise undefined. */
function statusOf(port: number, path: string, body?: string): Promise<number | undefined> {
    return new Promise(resolve => {
        const method = body === undefined ? "GET" : "POST";
        const outgoing = request({ host, port, path, method, agent: false, timeout: patience });
        outgoing.once("timeout", () => outgoing.destroy());
        outgoing.once("error", () => resolve(undefined));
        outgoing.once("response", response => {
            response.resume();
            response.on("error", () => undefined);
            response.once("close", () => resolve(response.complete ? response.statusCode : undefined));
        });
        outgoing.end(body);
    });
}
