import { type Random, seededRandom } from "@waxwingspar/utils";
import { type RetryBudget } from "../lib/retry/RetryBudget.js";
import { type Router, type RoutingTarget } from "../lib/routing/Router.js";
import { type BenchCase, runTime, warmUp } from "./BenchCase.js";
import { type BenchPolicy } from "./BenchPolicy.js";
import { BenchRequest } from "./BenchRequest.js";
import { EventClock } from "./EventClock.js";
import { type FakeCacheEvent, FakeTarget } from "./FakeTarget.js";
import { capacityOf, createFleet, fleet } from "./fleet.js";
import { Measurement } from "./Measurement.js";
import { Traffic } from "./Traffic.js";

/** Milliseconds between two load reports of a target. */
const reportInterval = 500;
/** Delay of load reports in milliseconds, unless the case sets another. */
const defaultReportLag = 500;
/** Delay of cache events, in milliseconds. */
const cacheEventLag = 1000;
/** The share of cache events that is lost. */
const cacheEventLoss = 0.1;
/** Milliseconds until the live list reflects a failed or recovered target. */
const liveListLag = 10_000;
/** One-way latency between data centres, in milliseconds. */
const dataCentreLatency = 0.6;
const millisecondsPerSecond = 1000;
/** Seconds that the run continues after the last arrival, so that requests can complete. */
const drainTime = 40;

/** A simulated entry. */
export interface BenchEntry {
    readonly dataCentre: string;
    readonly router: Router;
    /** Returns the retry budget of an organisation. Budgets are separate, so that none is used up by another. */
    budgetOf(organisation: number): RetryBudget;
}

/**
 * A run of one case under one policy: the real routers, budgets and queues with simulated targets, on virtual time.
 *
 * @internal
 */
export class BenchWorld {
    readonly clock = new EventClock();
    readonly measurement = new Measurement(warmUp, runTime);
    readonly offeredRate: number;
    private readonly random: Random;
    private readonly specs: RoutingTarget[];
    private readonly targets: Map<string, FakeTarget>;
    private readonly entries: BenchEntry[];
    private readonly traffic: Traffic;

    constructor(private readonly benchCase: BenchCase, policy: BenchPolicy, seed: number, pipelines?: number) {
        this.random = seededRandom(seed + 1);
        this.specs = createFleet(pipelines);
        this.offeredRate = capacityOf(this.specs) * benchCase.load;
        this.targets = new Map(this.specs.map(spec => {
            const target = new FakeTarget(spec, this.clock, slots => policy.createQueue(this.clock, slots));
            target.onCacheEvent = event => this.forwardCacheEvent(spec.name, event);
            return [spec.name, target];
        }));
        this.entries = Array.from({ length: fleet.entries }, (_, index) => this.createEntry(policy, index));
        this.traffic = new Traffic(benchCase, this.offeredRate, seed);
    }

    run(): Measurement {
        this.scheduleArrival();
        this.targets.forEach(target => this.scheduleReport(target));
        this.scheduleFault();
        this.clock.runUntil((runTime + drainTime) * millisecondsPerSecond);
        return this.measurement;
    }

    target(name: string): FakeTarget {
        return this.targets.get(name)!;
    }

    entryDelay(entry: BenchEntry, target: FakeTarget): number {
        return target.latency + (entry.dataCentre === target.spec.dataCentre ? 0 : dataCentreLatency);
    }

    hopDelay(from: FakeTarget, to: FakeTarget): number {
        const transfer = fleet.activationBytes / from.spec.bandwidth * millisecondsPerSecond;
        const distance = from.spec.dataCentre === to.spec.dataCentre ? 0 : dataCentreLatency;
        return from.latency + to.latency + transfer + distance;
    }

    private createEntry(policy: BenchPolicy, index: number): BenchEntry {
        const { clock } = this;
        const random = seededRandom(this.random.below(1_000_000));
        const dataCentre = fleet.dataCentres[index % fleet.dataCentres.length]!;
        const router = policy.createRouter({ clock, random, entry: `entry-${index}`, dataCentre });
        router.update(this.specs);
        const budgets = Array.from({ length: fleet.organisations }, () => policy.createBudget(clock, random));
        return { dataCentre, router, budgetOf: organisation => budgets[organisation]! };
    }

    private scheduleArrival(): void {
        const arrival = this.traffic.next();
        if (arrival.time >= runTime * millisecondsPerSecond) {
            return;
        }
        this.clock.schedule(() => {
            new BenchRequest(this, this.entries[arrival.entry]!, arrival).start();
            this.scheduleArrival();
        }, arrival.time - this.clock.now());
    }

    private scheduleReport(target: FakeTarget): void {
        const lag = this.benchCase.reportLag ?? defaultReportLag;
        const send = () => {
            if (!target.isDead) {
                const report = target.report();
                this.clock.schedule(() => this.entries.forEach(entry => entry.router.report(report)), lag);
            }
            if (this.clock.now() < runTime * millisecondsPerSecond) {
                this.clock.schedule(send, reportInterval);
            }
        };
        this.clock.schedule(send, this.random.below(reportInterval));
    }

    private forwardCacheEvent(target: string, event: FakeCacheEvent): void {
        for (const { router } of this.entries) {
            const isLost = this.random.next() < cacheEventLoss;
            const kind = isLost ? "gap" : event.kind;
            this.clock.schedule(() => router.cacheEvent(target, kind, isLost ? [] : event.blocks), cacheEventLag);
        }
    }

    private scheduleFault(): void {
        const { fault } = this.benchCase;
        if (fault === undefined) {
            return;
        }
        const pipelines = this.specs.length / 2;
        const count = Math.max(1, Math.round(pipelines * fault.share));
        for (let index = 0; index < count; index++) {
            // Whole pipelines fail together, as if their hosts shared a rack.
            const names = fault.share === 0 ? ["target-0-0"] : [`target-0-${index}`, `target-1-${index}`];
            names.map(name => this.target(name)).forEach(target => {
                this.clock.schedule(() => this.disturb(target, fault.kind), fault.from * millisecondsPerSecond);
                this.clock.schedule(() => this.repair(target, fault.kind), fault.to * millisecondsPerSecond);
            });
        }
    }

    private disturb(target: FakeTarget, kind: "slow" | "dead" | "link"): void {
        switch (kind) {
            case "slow":
                target.slowdown = 10;
                return;
            case "link":
                target.linkSlowdown = 100;
                return;
            case "dead":
                target.kill();
                this.updateLiveList(target, true);
                return;
        }
    }

    private repair(target: FakeTarget, kind: "slow" | "dead" | "link"): void {
        target.slowdown = 1;
        target.linkSlowdown = 1;
        if (kind === "dead") {
            target.revive();
            this.updateLiveList(target, false);
        }
    }

    private updateLiveList(target: FakeTarget, leaving: boolean): void {
        const apply = () => this.entries.forEach(entry => entry.router.setLeaving(target.spec.name, leaving));
        this.clock.schedule(apply, liveListLag);
    }
}
