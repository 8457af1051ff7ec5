import { settingsVariable } from "@waxwingspar/platform";
import {
    callGateway,
    FakeStore,
    FakeTarget,
    listTarget,
    type TargetBehaviour,
    testConfiguration,
    testSettings,
} from "@waxwingspar/platform/testing";
import { findPorts, SiteProcess } from "@waxwingspar/proof";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { openSockets, peakMemory } from "./ProcessMemory.js";
import { largestBody } from "./scripts.js";

/** Options of {@link GatewayUnderTest}. */
export interface GatewayUnderTestOptions {
    /** Memory of the machine in megabytes. */
    readonly memory?: number;
    /** Descriptors that the machine gives to sockets. */
    readonly sockets?: number;
    /** Milliseconds of the routes' timeout; by default that of the test configuration. */
    readonly routeTimeout?: number;
    /** How the plain target answers. */
    readonly behaviour?: TargetBehaviour;
    /** How the targets of the chain answer. */
    readonly streamBehaviour?: TargetBehaviour;
    /** Options of Node.js. */
    readonly nodeOptions?: readonly string[];
    /** Whether the targets of the chain answer calls for reports with bytes without end. */
    readonly floodsReports?: boolean;
}

/** The smallest machine for callers on the users' sheets. */
export const smallestMachine = { memory: 202, sockets: 1_869 };
/** Descriptors of a machine that are for files. */
const fileDescriptors = 200;
/** V8 limits its heap to half of a small machine's memory by default. */
const heapShare = 0.5;
const host = "127.0.0.1";
const bytesPerMegabyte = 1_000_000;
const success = 200;
const pollInterval = 50;
const shownLines = 12;
/** Milliseconds until a process that does not end counts as hanging. */
const endTimeout = 60_000;
const script = fileURLToPath(new URL("../../../../target/start.cjs", import.meta.url));

/** One bundled gateway process with stand-ins of the store and of targets. */
export class GatewayUnderTest {
    private readonly store = new FakeStore();
    private readonly target: FakeTarget;
    private readonly chain: readonly FakeTarget[];
    private ports = { callers: 0, readiness: 0, peers: 0, metrics: 0 };
    private folder = "";
    private process: SiteProcess | undefined;

    constructor(private readonly options: GatewayUnderTestOptions = {}) {
        const { behaviour, streamBehaviour } = options;
        this.target = new FakeTarget("plain-x-1", behaviour);
        this.chain = [1, 2].map(index => new FakeTarget(`model-x-${index}`, streamBehaviour));
        this.chain.forEach(target => target.floodsOwnCalls = options.floodsReports === true);
    }

    get callerPort(): number {
        return this.ports.callers;
    }

    get readinessPort(): number {
        return this.ports.readiness;
    }

    get metricsPort(): number {
        return this.ports.metrics;
    }

    get peerPort(): number {
        return this.ports.peers;
    }

    /** Requests that a target has received. */
    get seen(): FakeTarget["seen"] {
        return this.target.seen;
    }

    /** Starts stand-ins and gateway, and waits until the gateway is ready. */
    async start(): Promise<void> {
        await this.launch();
        await this.becomesReady();
        await this.serveOrdinaryCaller();
    }

    /** Starts stand-ins and gateway without waiting for it. */
    async launch(): Promise<void> {
        const { memory = smallestMachine.memory, sockets = smallestMachine.sockets } = this.options;
        this.folder = await mkdtemp(join(tmpdir(), "waxwingspar-abuse-"));
        await this.store.start();
        const targets = [this.target, ...this.chain];
        await Promise.all(targets.map(target => target.start()));
        const configuration = testConfiguration(1);
        const limits = { ...configuration.Limits, MaxBodyBytes: largestBody };
        const routes = configuration.Routes.map(route => ({
            ...route,
            TimeoutMs: this.options.routeTimeout ?? route.TimeoutMs,
        }));
        this.store.put("op", "config", { ...configuration, Routes: routes, Limits: limits });
        targets.forEach(target => listTarget(this.store, target));
        const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await findPorts(host, 4);
        this.ports = { callers, readiness, peers, metrics };
        const settings = join(this.folder, "settings.json");
        const identity = { name: "front-1", dataCentre: "x", ports: this.ports };
        const machine = { MemoryMb: memory, MaxFds: sockets + fileDescriptors };
        await writeFile(settings, JSON.stringify({ ...testSettings(this.store.address, identity), Limits: machine }));
        this.process = new SiteProcess({
            name: "front-1",
            command: [
                ...this.options.nodeOptions ?? [],
                script,
                "--callers",
                `${host}:${callers}`,
                "--metrics-port",
                `${metrics}`,
            ],
            log: join(this.folder, "front-1.log"),
            environment: { [settingsVariable]: settings },
            heapMegabytes: Math.floor(memory * heapShare),
            maxDescriptors: sockets + fileDescriptors,
        });
    }

    /** Waits until the gateway is ready. @throws Error if it ends first. */
    async becomesReady(): Promise<void> {
        while (!await this.isReady()) {
            if (!this.isRunning) {
                throw new Error(`the gateway ended: ${this.process?.end ?? ""}\n${await this.readLog()}`);
            }
            await pause(pollInterval);
        }
    }

    /** The last lines that the process has written. */
    private async readLog(): Promise<string> {
        return (await readFile(join(this.folder, "front-1.log"), "utf8")).split("\n").slice(-shownLines).join("\n");
    }

    signal(signal: "SIGTERM" | "SIGHUP"): void {
        this.process?.signal(signal);
    }

    /** Waits until the process has ended. @returns The signal or exit code with which it did. */
    async waitForEnd(): Promise<string | undefined> {
        await this.process?.waitForEnd(endTimeout);
        return this.process?.end;
    }

    get isRunning(): boolean {
        return this.process?.running === true;
    }

    /** The largest resident memory so far, in megabytes of a million bytes. */
    get peakMegabytes(): number {
        return peakMemory(this.pid) / bytesPerMegabyte;
    }

    get openSockets(): number {
        return openSockets(this.pid);
    }

    async isReady(): Promise<boolean> {
        const reply = await callGateway({ port: this.ports.readiness, path: "/ready" }).catch(() => undefined);
        return reply?.status === success;
    }

    /** Makes one request as an ordinary caller, who returns after a refusal or a closed connection, until it is served. */
    async serveOrdinaryCaller(): Promise<void> {
        while (this.isRunning) {
            const call = { port: this.ports.callers, path: "/get/ordinary", patience: 3_000 };
            const reply = await callGateway(call).catch(() => undefined);
            if (reply?.status === success && reply.isComplete) {
                return;
            }
            await pause(pollInterval);
        }
        throw new Error(`the gateway ended: ${this.process?.end ?? ""}`);
    }

    async stop(): Promise<void> {
        await this.process?.kill();
        [this.target, ...this.chain].forEach(target => target.stop());
        this.store.stop();
        await rm(this.folder, { recursive: true });
    }

    private get pid(): number {
        return this.process?.pid ?? 0;
    }
}
