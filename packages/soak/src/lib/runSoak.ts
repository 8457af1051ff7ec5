import { callGateway, FakeStore, type StoreFault } from "@waxwingspar/platform/testing";
import { findPorts } from "@waxwingspar/proof";
import { type Random, seededRandom } from "@waxwingspar/utils";
import { setTimeout as pause } from "node:timers/promises";
import { checkLoad, checkSoak, type Violation } from "./checkSoak.js";
import { playPlannedWork } from "./playPlannedWork.js";
import { SoakCaller, type SoakCallerOptions } from "./SoakCaller.js";
import { soakConfiguration } from "./soakConfiguration.js";
import { SoakGateway } from "./SoakGateway.js";
import { type SoakCall, SoakLog } from "./SoakLog.js";
import { SoakTargets } from "./SoakTargets.js";
import { SteadyCaller } from "./SteadyCaller.js";

/** Options of {@link runSoak}. */
export interface SoakOptions {
    readonly seed: number;
    /** Number of gateway processes. */
    readonly gateways?: number;
    /** Seconds under load. */
    readonly seconds?: number;
    /** Folder of settings and logs. */
    readonly folder: string;
    /** The gateway program to start; by default that of this build. */
    readonly command?: string;
}

/** The result of a soak. */
export interface SoakResult {
    readonly seed: number;
    readonly calls: number;
    readonly served: number;
    readonly refused: number;
    /** Requests that were sent in a planned stop, on connections whose request before them was sent before it. */
    readonly acrossStops: number;
    readonly violations: readonly Violation[];
    /** Disturbances in their order. */
    readonly events: readonly string[];
    /** Longest time in milliseconds by which the driver itself stood still; limits are not judged above a second. */
    readonly longestStall: number;
}

const host = "127.0.0.1";
const dataCentres = ["x", "y", "z"];
const plainTargets = 3;
const portsPerGateway = 3;
const callersPerGateway = 3;
/** Number of callers of each gateway that think, and keep their connections. */
const steadyCallersPerGateway = 3;
/** Requests per second of a caller that is always answered, with its pauses. */
const plannedRate = 5;
const steadyRate = 1;
const crowdSize = 30;
/** Bounds of the milliseconds between two disturbances, of a process's pause and of a fault of the store. */
const interval = { least: 500, most: 3_000 };
const pauseTime = { least: 200, most: 2_500 };
const storeFaultTime = { least: 300, most: 3_500 };
/** Parts of a processor that a gateway gets while it is short of time, and bounds of the milliseconds for which it is. */
const starvedParts = [{ running: 3, standing: 62 }, { running: 60, standing: 700 }, {
    running: 15,
    standing: 50,
}] as const;
const starvationTime = { least: 1_000, most: 5_000 };
/** Milliseconds between two checks which gateways are ready, as the load balancer makes them. */
const probeInterval = 250;
/** Milliseconds between two checks of the driver's own event loop. */
const stallCheckInterval = 50;
/** Milliseconds of a delay that is recorded as a stall. */
const leastStall = 20;
/** Milliseconds after the load until what was sent late has arrived. */
const settleTime = 3_500;
/** Milliseconds within which a process that was started answers on a busy machine. */
const startTime = 15_000;
/** Most routes of a version. */
const maxRoutes = 3_000;
/** Number of versions in quick succession, and bounds of the milliseconds between two. */
const seriesLength = 5;
const seriesGap = { least: 50, most: 400 };
const millisecondsPerSecond = 1_000;
const success = 200;
const refusal = 503;
const storeFaults: readonly StoreFault[] = ["refuse", "reset", "silent", "loseReply"];

/** Seeds of one soak for its callers that think. */
const steadySeeds = 100_000;
/** An odd number with bits all over. */
const scatter = 0x9e37_79b1;

/** The first numbers of a source follow its seed closely, so that neighbouring seeds would begin alike. */
function scatteredRandom(seed: number): Random {
    return seededRandom(Math.imul(seed, scatter));
}

/** The name of a route that only one version has. */
function newestRoute(version: number): string {
    return `version${version}`;
}

/** Runs gateways under load and disturbances that follow from the seed. @returns What was seen, and what broke. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const soak = new Soak(options);
    try {
        await soak.start();
        await soak.run();
    }
    finally {
        await soak.stop();
    }
    return soak.result;
}

function isAcrossStop({ sentAt, previousAt = Infinity, writtenAt, gateway: { stoppingSince } }: SoakCall): boolean {
    return stoppingSince !== undefined && writtenAt !== undefined && previousAt < stoppingSince
        && sentAt > stoppingSince;
}

class Soak {
    private readonly now = () => performance.now();
    private readonly log = new SoakLog(this.now());
    private readonly random: Random;
    private readonly store = new FakeStore();
    private readonly targets: SoakTargets;
    private gateways: SoakGateway[] = [];
    private readonly disturbances: Promise<void>[] = [];
    private isOver = false;
    private version = 1;
    /** Routes of the next version beside the usual ones. */
    private routes = 0;

    constructor(private readonly options: SoakOptions) {
        this.random = seededRandom(options.seed);
        this.targets = new SoakTargets({
            store: this.store,
            random: seededRandom(options.seed + 1_000),
            log: this.log,
            now: this.now,
            findSender: name => this.gateways.find(gateway => gateway.name === name)?.incarnation,
        });
    }

    get result(): SoakResult {
        const { calls, events, longestStall } = this.log;
        return {
            seed: this.options.seed,
            calls: calls.length,
            served: calls.filter(({ status, isComplete }) => status === success && isComplete).length,
            refused: calls.filter(({ status }) => status === refusal).length,
            acrossStops: calls.filter(isAcrossStop).length,
            violations: [...checkSoak(this.log, this.targets.limited), ...checkLoad(calls.length, this.plannedCalls)],
            events,
            longestStall: Math.round(longestStall),
        };
    }

    /** Requests that the callers make if each of them is answered. */
    private get plannedCalls(): number {
        const { gateways = 4, seconds = 30 } = this.options;
        return gateways * seconds * (callersPerGateway * plannedRate + steadyCallersPerGateway * steadyRate);
    }

    async start(): Promise<void> {
        await this.store.start();
        this.store.put("op", "config", soakConfiguration(this.version));
        await this.targets.start(dataCentres, plainTargets);
        const { gateways = 4, folder, command } = this.options;
        const ports = await findPorts(host, gateways * portsPerGateway);
        this.gateways = Array.from({ length: gateways }, (_, index) => {
            const [callers = 0, readiness = 0, peers = 0] = ports.slice(index * portsPerGateway);
            return new SoakGateway({
                name: `front-${index + 1}`,
                dataCentre: dataCentres[index % dataCentres.length] ?? "",
                ports: { callers, readiness, peers },
                storeAddress: this.store.address,
                folder,
                log: this.log,
                now: this.now,
                command,
            });
        });
        await Promise.all(this.gateways.map(gateway => gateway.open()));
    }

    async run(): Promise<void> {
        const { gateways = 4, seconds = 30, seed } = this.options;
        void this.watchReadiness();
        void this.watchStalls();
        const callers = Array.from(
            { length: gateways * callersPerGateway },
            (_, index) => this.createCaller(seededRandom(seed * 100 + index)).run(),
        );
        const steadyCallers = Array.from(
            { length: gateways * steadyCallersPerGateway },
            (_, index) =>
                new SteadyCaller({
                    ...this.createCallerOptions(scatteredRandom(seed * steadySeeds + index)),
                    chooseGateway: () => this.chooseGateway(this.workedOn),
                }).run(),
        );
        const plannedWork = this.playPlannedWork(scatteredRandom(seed));
        const end = this.now() + seconds * millisecondsPerSecond;
        while (this.now() < end) {
            await pause(this.draw(interval));
            this.disturbances.push(this.disturb());
        }
        this.isOver = true;
        await Promise.all([...this.disturbances, plannedWork]);
        await Promise.all([...callers, ...steadyCallers]);
        this.publish();
        await Promise.all([this.checkConfiguration(), pause(settleTime)]);
        this.gateways.forEach(gateway => gateway.reportUnknownHeaders());
    }

    async stop(): Promise<void> {
        this.isOver = true;
        await Promise.all(this.gateways.map(gateway => gateway.end()));
        this.targets.stop();
        this.store.stop();
    }

    private playPlannedWork(random: Random): Promise<void> {
        return playPlannedWork({
            random,
            gateways: this.workedOn,
            wait: pause,
            isOver: () => this.isOver,
            publishSeries: () => this.publishSeries(),
            crowd: async gateway => {
                await Promise.all(this.createCrowd(gateway, random));
            },
        });
    }

    /** Begins one disturbance; earlier ones may be in progress. */
    private async disturb(): Promise<void> {
        const gateway = this.pick(this.gateways);
        const actions: readonly (() => Promise<void> | void)[] = [
            () => gateway?.restart(),
            () => gateway?.crash(),
            () => gateway?.pause(this.draw(pauseTime), pause),
            () => gateway?.starve(this.pick(starvedParts) ?? starvedParts[0], this.draw(starvationTime), pause),
            () => this.crowd(gateway),
            () => this.failStore(),
            () => this.targets.replace(pause),
            () => this.targets.changeLimit(),
            () => this.targets.changeLimit(),
            () => this.targets.askForRest(pause),
            () => this.targets.askForRest(pause),
            () => this.publish(),
            () => this.publishSeries(),
            () => this.narrowStore(),
            () => this.targets.failLink(pause),
            () => this.targets.flood(pause),
            () => gateway?.failStoreLink(this.random, pause),
        ];
        await this.pick(actions)?.();
    }

    /** Makes a gateway stand still, or run for a part of the time, while a crowd of callers comes to it and leaves. */
    private async crowd(gateway: SoakGateway | undefined): Promise<void> {
        if (gateway === undefined) {
            return;
        }
        const callers = this.createCrowd(gateway, this.random);
        const part = this.pick([undefined, ...starvedParts]);
        const disturbance = part === undefined
            ? gateway.pause(this.draw(pauseTime), pause)
            : gateway.starve(part, this.draw(starvationTime), pause);
        await Promise.all([disturbance, ...callers]);
    }

    private createCrowd(gateway: SoakGateway, random: Random): Promise<void>[] {
        return Array.from({ length: crowdSize }, () => this.createCaller(random).callImpatiently(gateway));
    }

    private createCaller(random: Random): SoakCaller {
        return new SoakCaller(this.createCallerOptions(random));
    }

    private createCallerOptions(random: Random): SoakCallerOptions {
        return {
            random,
            log: this.log,
            now: this.now,
            wait: pause,
            isOver: () => this.isOver,
            chooseGateway: () => this.chooseGateway(),
        };
    }

    private async failStore(): Promise<void> {
        const fault = this.pick(storeFaults);
        const from = this.now();
        const duration = this.draw(storeFaultTime);
        this.log.event(from, `the store fails for ${Math.round(duration)} ms: ${fault}`);
        this.log.storeFaults.push({ from, until: from + duration });
        this.store.setFault(fault);
        await pause(duration);
        this.store.setFault(undefined);
    }

    /** Writes a new version, some of them with many routes, and one route that no other version has. */
    private publish(): void {
        const configuration = soakConfiguration(++this.version);
        const [route] = configuration.Routes;
        const names = [newestRoute(this.version), ...Array.from({ length: this.routes }, (_, i) => `many${i}`)];
        const added = names.map(name => ({ ...route, Name: name, PathPrefix: `/${name}/` }));
        this.routes = Math.floor(maxRoutes * this.random.next() ** 3);
        this.store.put("op", "config", { ...configuration, Routes: [...configuration.Routes, ...added] });
    }

    private async publishSeries(): Promise<void> {
        this.log.event(this.now(), "versions in quick succession");
        for (let count = 0; count < seriesLength; count++) {
            this.publish();
            await pause(this.draw(seriesGap));
        }
    }

    /** Makes the store send its replies slowly, as over a narrow link. */
    private async narrowStore(): Promise<void> {
        const duration = this.draw(storeFaultTime);
        this.log.event(this.now(), `the store's link is narrow for ${Math.round(duration)} ms`);
        this.store.setPace({ parts: 2 + Math.floor(this.random.next() * 30), pause: 60 });
        await pause(duration);
        this.store.setPace(undefined);
    }

    /**
     * Waits until every gateway serves the route of the newest version, and notes those that do not some seconds after
     * they first answered at all: a process may still be starting.
     */
    private async checkConfiguration(): Promise<void> {
        const path = `/${newestRoute(this.version)}/1`;
        const startEnd = this.now() + startTime;
        await Promise.all(this.gateways.map(async ({ name, port }) => {
            let end = startEnd;
            let status = 0;
            while (status !== success && this.now() < end) {
                await pause(probeInterval);
                status = (await callGateway({ port, path }).catch(() => undefined))?.status ?? 0;
                end = status !== 0 && end === startEnd ? this.now() + settleTime : end;
            }
            if (status !== success) {
                this.log.outdated.push(`${name}: ${status} for a route of version ${this.version}`);
            }
        }));
    }

    /** The gateways with planned work. The others are calm for as long as the checks need that want processes in touch. */
    private get workedOn(): readonly SoakGateway[] {
        return this.gateways.slice(0, Math.ceil(this.gateways.length / 2));
    }

    private chooseGateway(gateways: readonly SoakGateway[] = this.gateways): SoakGateway | undefined {
        return this.pick(gateways.filter(({ isInRotation }) => isInRotation));
    }

    private async watchReadiness(): Promise<void> {
        while (!this.isOver) {
            await Promise.all(this.gateways.map(gateway => gateway.checkReadiness()));
            await pause(probeInterval);
        }
    }

    private async watchStalls(): Promise<void> {
        while (!this.isOver) {
            const before = this.now();
            await pause(stallCheckInterval);
            const stall = this.now() - before - stallCheckInterval;
            this.log.longestStall = Math.max(this.log.longestStall, stall);
            if (stall > leastStall) {
                this.log.stalls.push({ from: this.now() - stall, until: this.now() });
            }
        }
    }

    private pick<T>(items: readonly T[]): T | undefined {
        return items[Math.floor(this.random.next() * items.length)];
    }

    private draw({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least + this.random.next() * (most - least);
    }
}
