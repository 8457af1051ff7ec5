import { settingsVariable } from "@waxwingspar/platform";
import { callGateway, testSettings } from "@waxwingspar/platform/testing";
import { findPorts, SiteProcess } from "@waxwingspar/proof";
import { type Random, seededRandom } from "@waxwingspar/utils";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Worker } from "node:worker_threads";
import { type AttemptEnd, HerdCaller } from "./HerdCaller.js";
import { type ProcessorPart, Throttle } from "./Throttle.js";

/** Options of {@link playHerd}. */
export interface HerdOptions {
    readonly seed: number;
    readonly gateways?: number;
    /** Requests a second, all gateways together. */
    readonly rate: number;
    /** Share of new connections that the load balancer sends to the first gateway while the herd lasts. */
    readonly share?: number;
    /** The part of a processor that the first gateway gets; the others get all of theirs. */
    readonly part: ProcessorPart;
    /** Whether the load balancer removes gateways that fail their readiness probes. */
    readonly heedsReadiness: boolean;
    readonly maxAttempts?: number;
    /** Seconds of even load, of the herd before all gateways are killed, and of the herd after it. */
    readonly seconds: { readonly calm: number; readonly before: number; readonly after: number; };
    /** Folder of settings and logs. */
    readonly folder: string;
    /** The start script of the bundled gateway. */
    readonly script: string;
    /** Names of mechanisms to disable, separated by commas. */
    readonly without?: string;
}

/** What became of the requests that were sent for the first time in one second. */
export interface HerdSecond {
    /** First attempts at the crowded gateway, by their outcome. */
    readonly crowded: Record<AttemptEnd["outcome"], number>;
    /** First attempts at the crowded gateway whose answer began within {@link aim}. */
    crowdedInAim: number;
    calls: number;
    /** Served at any attempt. */
    served: number;
    /** Probes of the crowded gateway that found it ready, and that did not. */
    readonly probes: { ready: number; notReady: number; };
}

interface HerdGateway {
    readonly name: string;
    readonly ports: { readonly callers: number; readonly readiness: number; readonly peers: number; };
    process: SiteProcess | undefined;
    missedProbes: number;
}

const host = "127.0.0.1";
const dataCentre = "x";
const millisecondsPerSecond = 1_000;
const success = 200;
const pollInterval = 50;
/** Milliseconds between the load balancer's probes of a gateway. */
const probeInterval = 1_000;
const maxMissedProbes = 2;
/** Milliseconds after the kill until the gateways are started again. */
const downTime = 1_500;
/** Milliseconds after the load until the last answers have ended. */
const settleTime = 4_000;
/** Milliseconds within which an answer must begin. */
const aim = 600;
const defaultShare = 0.9;
const siteScript = fileURLToPath(new URL("../herdSite.js", import.meta.url));

/** Plays a load balancer that sends most new connections to one gateway with little processor time. */
export async function playHerd(options: HerdOptions): Promise<readonly HerdSecond[]> {
    const play = new HerdPlay(options);
    try {
        return await play.run();
    }
    finally {
        await play.stop();
    }
}

class HerdPlay {
    private readonly now = () => performance.now();
    private readonly site = new Worker(siteScript);
    private readonly random: Random;
    private readonly seconds: HerdSecond[] = [];
    private gateways: readonly HerdGateway[] = [];
    private throttle: Throttle | undefined;
    private storeAddress = "";
    private startedAt = 0;
    private isHerd = false;
    private isOver = false;

    constructor(private readonly options: HerdOptions) {
        this.random = seededRandom(options.seed);
    }

    async run(): Promise<readonly HerdSecond[]> {
        const [address] = await once(this.site, "message") as [string];
        this.storeAddress = address;
        const count = this.options.gateways ?? 4;
        const ports = await findPorts(host, 3 * count);
        this.gateways = Array.from({ length: count }, (_, index) => {
            const [callers = 0, readiness = 0, peers = 0] = ports.slice(3 * index);
            return {
                name: `front-${index + 1}`,
                ports: { callers, readiness, peers },
                process: undefined,
                missedProbes: 0,
            };
        });
        await this.startGateways();
        await Promise.all(this.gateways.map(gateway => this.waitUntilReady(gateway)));
        this.startedAt = this.now();
        const load = this.call();
        const probes = this.probe();
        const { calm, before, after } = this.options.seconds;
        await pause(calm * millisecondsPerSecond);
        this.isHerd = true;
        await pause(before * millisecondsPerSecond);
        await this.throttle?.stop();
        await Promise.all(this.gateways.map(async ({ process }) => process?.kill()));
        await pause(downTime);
        await this.startGateways();
        await pause(after * millisecondsPerSecond);
        this.isOver = true;
        await Promise.all([load, probes]);
        await pause(settleTime);
        return this.seconds;
    }

    async stop(): Promise<void> {
        this.isOver = true;
        await this.throttle?.stop();
        await Promise.all(this.gateways.map(async ({ process }) => process?.kill()));
        await this.site.terminate();
    }

    private get crowded(): HerdGateway | undefined {
        return this.gateways[0];
    }

    private async startGateways(): Promise<void> {
        const { folder, script, part, without = "" } = this.options;
        for (const gateway of this.gateways) {
            const { name, ports } = gateway;
            const settings = join(folder, `${name}.json`);
            writeFileSync(settings, JSON.stringify(testSettings(this.storeAddress, { name, dataCentre, ports })));
            gateway.process = new SiteProcess({
                name,
                command: [script, "--callers", `${host}:${ports.callers}`, "--without", without],
                log: join(folder, `${name}.log`),
                environment: { [settingsVariable]: settings },
            });
            await gateway.process.ready();
        }
        const pid = this.crowded?.process?.pid;
        this.throttle = pid === undefined ? undefined : new Throttle(pid, part);
    }

    private async isReady({ ports }: HerdGateway): Promise<boolean> {
        const reply = await callGateway({ port: ports.readiness, path: "/ready" }).catch(() => undefined);
        return reply?.status === success;
    }

    private async waitUntilReady(gateway: HerdGateway): Promise<void> {
        while (!await this.isReady(gateway)) {
            await pause(pollInterval);
        }
    }

    /** Probes all gateways, as a load balancer does. */
    private async probe(): Promise<void> {
        while (!this.isOver) {
            for (const gateway of this.gateways) {
                void this.isReady(gateway).then(isReady => {
                    gateway.missedProbes = isReady ? 0 : gateway.missedProbes + 1;
                    if (gateway === this.crowded) {
                        const { probes } = this.currentSecond;
                        probes.ready += isReady ? 1 : 0;
                        probes.notReady += isReady ? 0 : 1;
                    }
                });
            }
            await pause(probeInterval);
        }
    }

    /** The gateways that get new connections. */
    private get rotation(): readonly HerdGateway[] {
        const inRotation = this.gateways.filter(({ missedProbes }) => missedProbes < maxMissedProbes);
        const isHeeded = this.options.heedsReadiness && inRotation.length >= this.gateways.length / 2;
        return isHeeded ? inRotation : this.gateways;
    }

    private get currentSecond(): HerdSecond {
        const index = Math.floor((this.now() - this.startedAt) / millisecondsPerSecond);
        for (let next = this.seconds.length; next <= index; next++) {
            this.seconds.push({
                crowded: { served: 0, refused: 0, closed: 0, left: 0, failed: 0 },
                crowdedInAim: 0,
                calls: 0,
                served: 0,
                probes: { ready: 0, notReady: 0 },
            });
        }
        return this.seconds[index]!;
    }

    private choose(attempt: number, before: HerdGateway | undefined): HerdGateway | undefined {
        const { rotation, crowded, random } = this;
        const isCrowded = this.isHerd && random.next() < (this.options.share ?? defaultShare);
        if (attempt === 1 && isCrowded && crowded !== undefined && rotation.includes(crowded)) {
            return crowded;
        }
        const others = rotation.filter(gateway => gateway !== before && !(this.isHerd && gateway === crowded));
        return others[Math.floor(random.next() * others.length)] ?? before;
    }

    /** Starts callers at random times, with the rate of the play. */
    private async call(): Promise<void> {
        const { now, random, startedAt, options: { rate, maxAttempts = 2 } } = this;
        for (let due = startedAt; !this.isOver; due -= Math.log(1 - random.next()) / rate * millisecondsPerSecond) {
            if (due > now()) {
                await pause(due - now());
            }
            const second = this.currentSecond;
            second.calls++;
            let chosen: HerdGateway | undefined;
            const caller = new HerdCaller({
                random,
                now,
                maxAttempts,
                choosePort: attempt => {
                    chosen = this.choose(attempt, chosen);
                    return chosen?.ports.callers ?? 0;
                },
                onEnd: (attempt, port, { outcome, firstByte = Infinity }) => {
                    second.served += outcome === "served" ? 1 : 0;
                    if (attempt === 1 && port === this.crowded?.ports.callers) {
                        second.crowded[outcome]++;
                        second.crowdedInAim += outcome === "served" && firstByte <= aim ? 1 : 0;
                    }
                },
            });
            void caller.run();
        }
    }
}
