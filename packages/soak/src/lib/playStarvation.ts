import {
    callGateway,
    FakeStore,
    FakeTarget,
    listTarget,
    serve,
    stream,
    type TargetBehaviour,
    testConfiguration,
    testSettings,
} from "@waxwingspar/platform/testing";
import { findPorts, SiteProcess } from "@waxwingspar/proof";
import { seededRandom } from "@waxwingspar/utils";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { ImpatientCaller } from "./ImpatientCaller.js";
import { type ProcessorPart, Throttle } from "./Throttle.js";

/** A time in which the gateway gets the same part of a processor. */
export interface StarvationPhase {
    readonly seconds: number;
    readonly part: ProcessorPart;
}

/** Options of {@link playStarvation}. */
export interface StarvationOptions {
    readonly seed: number;
    /** First attempts a second. */
    readonly rate: number;
    /** Milliseconds without an answer after which a caller leaves. */
    readonly patience: number;
    readonly maxAttempts: number;
    readonly phases: readonly StarvationPhase[];
    /** Whether the process is killed and started again while callers come, after the first phase. */
    readonly restarts?: boolean;
    /** Folder of settings and logs. */
    readonly folder: string;
    /** The script of the gateway and its arguments before the settings, to play another version. */
    readonly command?: readonly string[];
}

/** What became of the requests that were sent for the first time in one second. */
export interface StarvationSecond {
    calls: number;
    /** Served at the first attempt. */
    servedFirst: number;
    served: number;
}

/** The result of {@link playStarvation}. */
export interface StarvationResult {
    readonly seconds: readonly StarvationSecond[];
    /** Attempts that reached a target. */
    readonly arrivals: number;
    /** Attempts that reached a target more than half a second after their callers had left. */
    readonly sentTooLate: number;
    readonly left: number;
}

const host = "127.0.0.1";
const latestSend = 500;
const millisecondsPerSecond = 1_000;
const streamEvents = 10;
const eventInterval = 20;
const serviceTime = 20;
const plainTargets = 3;
/** Room of the chain, so that targets are never what is short. */
const slots = 5_000;
const success = 200;
const probeInterval = 50;
/** Milliseconds after the load until the last answers have ended. */
const settleTime = 3_000;
const gatewayCommand = [fileURLToPath(new URL("../../../cli/dist/bin.js", import.meta.url)), "gateway", "--settings"];

/** Plays callers of one gateway that is short of processor time, and returns who was served. */
export async function playStarvation(options: StarvationOptions): Promise<StarvationResult> {
    const play = new StarvationPlay(options);
    try {
        return await play.run();
    }
    finally {
        await play.stop();
    }
}

class StarvationPlay {
    private readonly now = () => performance.now();
    private readonly store = new FakeStore();
    private readonly targets: FakeTarget[];
    private readonly leftAt = new Map<string, number>();
    private readonly seconds: StarvationSecond[] = [];
    private arrivals = 0;
    private sentTooLate = 0;
    private ports = { callers: 0, readiness: 0, peers: 0 };
    private process: SiteProcess | undefined;
    private throttle: Throttle | undefined;

    constructor(private readonly options: StarvationOptions) {
        const plain = this.observed((...seen) => void setTimeout(() => serve(...seen), serviceTime));
        const head = this.observed(stream(streamEvents, Infinity, eventInterval));
        this.targets = [
            new FakeTarget("model-x-1", head),
            new FakeTarget("model-x-2", head),
            ...Array.from({ length: plainTargets }, (_, index) => new FakeTarget(`plain-x-${index}`, plain)),
        ];
    }

    async run(): Promise<StarvationResult> {
        await this.store.start();
        const configuration = testConfiguration(1);
        const services = configuration.Services.map(service =>
            "Engine" in service ? { ...service, Engine: { ...service.Engine, Slots: slots } } : service
        );
        this.store.put("op", "config", { ...configuration, Services: services });
        await Promise.all(this.targets.map(target => target.start()));
        this.targets.forEach(target => listTarget(this.store, target));
        const [callers = 0, readiness = 0, peers = 0] = await findPorts(host, 3);
        this.ports = { callers, readiness, peers };
        const [first, ...later] = this.options.phases;
        await this.startGateway(first?.part);
        await this.waitUntilReady();
        let isOver = false;
        const load = this.callUntil(() => isOver);
        await pause((first?.seconds ?? 0) * millisecondsPerSecond);
        for (const [index, { seconds, part }] of later.entries()) {
            if (index === 0 && this.options.restarts === true) {
                await this.throttle?.stop();
                await this.process?.kill();
                await this.startGateway(part);
            }
            this.throttle?.set(part);
            await pause(seconds * millisecondsPerSecond);
        }
        isOver = true;
        await load;
        await pause(settleTime);
        const { seconds, arrivals, sentTooLate, leftAt } = this;
        return { seconds, arrivals, sentTooLate, left: leftAt.size };
    }

    async stop(): Promise<void> {
        await this.throttle?.stop();
        await this.process?.kill();
        this.targets.forEach(target => target.stop());
        this.store.stop();
    }

    private async startGateway(part: ProcessorPart | undefined): Promise<void> {
        const { folder, command = gatewayCommand } = this.options;
        const settings = join(folder, "front-1.json");
        const identity = { name: "front-1", dataCentre: "x", ports: this.ports };
        writeFileSync(settings, JSON.stringify(testSettings(this.store.address, identity)));
        this.process = new SiteProcess({
            name: "front-1",
            command: [...command, settings],
            log: join(folder, "front-1.log"),
        });
        await this.process.ready();
        if (part !== undefined && this.process.pid !== undefined) {
            this.throttle = new Throttle(this.process.pid, part);
        }
    }

    private async waitUntilReady(): Promise<void> {
        const probe = () => callGateway({ port: this.ports.readiness, path: "/ready" }).catch(() => undefined);
        while ((await probe())?.status !== success) {
            await pause(probeInterval);
        }
    }

    /** Starts callers at random times, with the rate of the play. */
    private async callUntil(isOver: () => boolean): Promise<void> {
        const { seed, rate, patience, maxAttempts } = this.options;
        const random = seededRandom(seed);
        const { now, leftAt } = this;
        const startedAt = now();
        for (let due = startedAt; !isOver(); due -= Math.log(1 - random.next()) / rate * millisecondsPerSecond) {
            if (due > now()) {
                await pause(due - now());
            }
            const index = Math.floor((now() - startedAt) / millisecondsPerSecond);
            const second = this.seconds[index] ??= { calls: 0, servedFirst: 0, served: 0 };
            second.calls++;
            const onLeft = (requestId: string, at: number) => leftAt.set(requestId, at);
            const caller = new ImpatientCaller({
                port: this.ports.callers,
                random,
                now,
                patience,
                maxAttempts,
                onLeft,
            });
            void caller.run().then(attempt => {
                second.servedFirst += attempt === 1 ? 1 : 0;
                second.served += attempt === undefined ? 0 : 1;
            });
        }
    }

    private observed(behaviour: TargetBehaviour): TargetBehaviour {
        return (seen, response, target) => {
            this.arrivals++;
            const leftAt = this.leftAt.get(seen.id);
            if (leftAt !== undefined && this.now() - leftAt > latestSend) {
                this.sentTooLate++;
            }
            behaviour(seen, response, target);
        };
    }
}
