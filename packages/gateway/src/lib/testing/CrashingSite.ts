import { type Random, seededRandom } from "@waxwingspar/utils";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { testTarget } from "./fixtures.js";
import { type SimulatedAnswer } from "./SimulatedAnswer.js";
import { type SimulatedGateway, SimulatedGroup, type SimulatedGroupOptions } from "./SimulatedGroup.js";
import { SimulatedRouter } from "./SimulatedRouter.js";
import { SimulatedTarget } from "./SimulatedTarget.js";
import { WatchedTable } from "./WatchedTable.js";

/** Options of {@link CrashingSite}. */
export interface CrashingSiteOptions extends SimulatedGroupOptions {
    /** Requests a second that crash nothing, over all gateways. */
    readonly load?: number;
    /** Different requests that crash each target which runs them. */
    readonly culprits?: number;
    /** Targets that crash by themselves, in a minute. */
    readonly crashesPerMinute?: number;
}

/** What became of a caller's request, all its attempts together. */
export interface CallerOutcome {
    readonly body: string;
    readonly isServed: boolean;
    /** The answers that were no success. */
    readonly failures: readonly CallerFailure[];
}

/** An answer that was no success. */
export interface CallerFailure {
    /** The numbered result, if the gateway gave one. */
    readonly result: number | undefined;
    /** Whether it told when to come back. */
    readonly hasRetryAfter: boolean;
}

interface SiteGateway {
    readonly group: SimulatedGateway;
    readonly router: SimulatedRouter;
    /** Answers that callers wait for. */
    readonly answers: Set<SimulatedAnswer>;
}

/** Milliseconds after a crash at which the entry of the target is gone. */
const lapse = 3_600;
/** Bounds of the milliseconds after which its next start is listed. */
const restart = { least: 4_000, most: 6_000 };
/** A caller tries again once. */
const attempts = 2;
/** Milliseconds between the visits of the caller of a culprit, in bursts. */
const culpritPause = { least: 100, most: 3_000 };
/** Targets of the one chain that each data centre has. */
const targetsOfChain = 2;
const layersEach = 40;

/**
 * Gateways with the modules that decide where requests are sent, over targets that crash under certain requests and come back
 * some seconds later. Callers come to any gateway, and once more when they are not served; those of the culprits for ever.
 */
export class CrashingSite {
    readonly group: SimulatedGroup;
    readonly store: WatchedTable;
    readonly outcomes: CallerOutcome[] = [];
    /** When targets crashed under a culprit, and when a culprit reached a target, by its body. */
    readonly crashes = new Map<string, number[]>();
    readonly arrivals = new Map<string, number[]>();
    private readonly targets: SimulatedTarget[] = [];
    private readonly gateways: SiteGateway[];
    private readonly random: Random;
    private readonly options: Required<
        Pick<CrashingSiteOptions, "load" | "culprits" | "crashesPerMinute" | "gatewaysEach">
    >;
    private requests = 0;
    private isOver = false;

    constructor(options: CrashingSiteOptions = {}) {
        const { seed = 1, load = 40, culprits = 1, crashesPerMinute = 0, gatewaysEach = 2 } = options;
        this.options = { load, culprits, crashesPerMinute, gatewaysEach };
        this.group = new SimulatedGroup({ dataCentres: 3, ...options, gatewaysEach });
        this.store = new WatchedTable(this.group.clock);
        this.random = seededRandom(seed + 500);
        this.gateways = this.group.gateways.map(gateway => this.createGateway(gateway));
        for (let dataCentre = 0; dataCentre < (options.dataCentres ?? 3); dataCentre++) {
            for (let index = 0; index < targetsOfChain; index++) {
                this.startTarget(`dc-${dataCentre}`, dataCentre * targetsOfChain + index, index);
            }
        }
    }

    /** Lets the site run for some milliseconds under its load, and then until all callers have an answer. */
    async run(duration: number): Promise<void> {
        await this.group.runAsync(2_000);
        this.nextRequest();
        this.nextCrash();
        for (let culprit = 0; culprit < this.options.culprits; culprit++) {
            this.visit(`culprit ${culprit}`);
        }
        await this.group.runAsync(duration);
        this.isOver = true;
        await this.group.runAsync(5_000);
    }

    /** Does something so many milliseconds from now. */
    after(delay: number, action: () => void): void {
        this.group.clock.schedule(action, delay);
    }

    /** Kills all gateways; they start again at once, and remember nothing. */
    restartGateways(): void {
        const old = this.gateways.splice(0);
        old.forEach(gateway => this.kill(gateway));
        const { gatewaysEach } = this.options;
        old.forEach((_, index) => {
            const group = this.group.add(Math.floor(index / gatewaysEach), index % gatewaysEach);
            this.group.introduce(group);
            this.gateways.push(this.createGateway(group));
        });
    }

    private kill({ group, router, answers }: SiteGateway): void {
        group.isDown = true;
        router.chains.stop();
        answers.forEach(answer => answer.breakConnection());
    }

    private createGateway(group: SimulatedGateway): SiteGateway {
        const router = new SimulatedRouter({
            clock: this.group.clock,
            dataCentre: group.dataCentre,
            store: this.store,
            targetAt: port => this.targetAt(port),
            peerLoad: headId => group.exchange.others.chainLoads[headId] ?? 0,
            gateways: () => group.size.value,
        });
        const { chains, crashes, directory, suspicions } = router;
        group.hear(others => crashes.counts.hear(others.crashes));
        group.tell(() => ({
            crashes: crashes.counts.listSeen(),
            chainLoads: Object.fromEntries(chains.headLoads()),
            suspects: suspicions.listLost(),
        }));
        this.targets.forEach(({ target, isDown }) => isDown ? undefined : directory.put(target));
        return { group, router, answers: new Set() };
    }

    private startTarget(dataCentre: string, port: number, half: number): void {
        const { clock } = this.group;
        const layers = { first: half * layersEach, end: (half + 1) * layersEach };
        const target = { ...testTarget(`t${port}`, "small", layers, dataCentre), startedAt: clock.now() };
        const simulated = new SimulatedTarget({
            clock,
            random: this.random,
            target,
            crashesUnder: body => body.startsWith("culprit"),
            onArrival: body => note(this.arrivals, body, clock.now()),
            onCrash: body => {
                if (body !== undefined) {
                    note(this.crashes, body, clock.now());
                }
                clock.schedule(() => this.eachDirectory(directory => directory.remove(target.id, 0)), lapse);
                clock.schedule(() => this.startTarget(dataCentre, port, half), this.draw(restart));
            },
        });
        const known = this.targets.findIndex(other => other.target.port === target.port);
        this.targets.splice(known === -1 ? this.targets.length : known, known === -1 ? 0 : 1, simulated);
        this.eachDirectory(directory => directory.put(target));
    }

    private eachDirectory(change: (directory: TargetDirectory) => void): void {
        this.gateways.forEach(({ router }) => change(router.directory));
    }

    private targetAt(port: number): SimulatedTarget {
        const found = this.targets.find(({ target }) => target.port === port);
        if (found === undefined) {
            throw new Error(`no target at port ${port}`);
        }
        return found;
    }

    private nextRequest(): void {
        if (this.isOver || this.options.load === 0) {
            return;
        }
        const pause = -Math.log(1 - this.random.next()) * 1_000 / this.options.load;
        this.group.clock.schedule(() => {
            void this.ask(`question ${this.requests++}`, attempts);
            this.nextRequest();
        }, Math.round(pause));
    }

    private nextCrash(): void {
        const { crashesPerMinute } = this.options;
        if (this.isOver || crashesPerMinute === 0) {
            return;
        }
        const pause = -Math.log(1 - this.random.next()) * 60_000 / crashesPerMinute;
        this.group.clock.schedule(() => {
            const heads = this.targets.filter(({ isDown, target }) => !isDown && target.layers?.first === 0);
            heads[Math.floor(this.random.next() * heads.length)]?.crash();
            this.nextCrash();
        }, Math.round(pause));
    }

    /** The caller of a culprit comes back for ever. */
    private visit(body: string): void {
        if (!this.isOver) {
            this.ask(body, attempts, () => {
                this.group.clock.schedule(() => this.visit(body), this.draw(culpritPause));
            });
        }
    }

    /** One request of a caller, with its attempts. */
    private ask(
        body: string,
        left: number,
        onEnd: () => void = () => undefined,
        failures: readonly CallerFailure[] = [],
    ): void {
        const living = this.gateways.filter(({ group }) => this.group.living.includes(group));
        const gateway = living[Math.floor(this.random.next() * living.length)];
        if (gateway === undefined) {
            return;
        }
        const answer = gateway.router.start(body);
        gateway.answers.add(answer);
        answer.whenOver(() => {
            gateway.answers.delete(answer);
            const isServed = answer.statusCode === 200 && answer.isWhole;
            const { resultNumber: result, hasRetryAfter } = answer;
            const all = isServed ? failures : [...failures, { result, hasRetryAfter }];
            if (isServed || left <= 1) {
                this.outcomes.push({ body, isServed, failures: all });
                onEnd();
                return;
            }
            this.group.clock.schedule(() => this.ask(body, left - 1, onEnd, all), 2);
        });
    }

    private draw({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least + Math.floor(this.random.next() * (most - least));
    }
}

function note(times: Map<string, number[]>, body: string, time: number): void {
    times.set(body, [...times.get(body) ?? [], time]);
}
