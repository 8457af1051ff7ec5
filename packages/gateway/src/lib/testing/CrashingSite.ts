import { type Random, seededRandom } from "@waxwingspar/utils";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { testTarget } from "./fixtures.js";
import { type SimulatedAnswer } from "./SimulatedAnswer.js";
import { type SimulatedGateway, SimulatedGroup, type SimulatedGroupOptions } from "./SimulatedGroup.js";
import { partsOf, SimulatedRouter } from "./SimulatedRouter.js";
import { SimulatedStore } from "./SimulatedStore.js";
import { SimulatedTarget } from "./SimulatedTarget.js";

/** Options of {@link CrashingSite}. */
export interface CrashingSiteOptions extends SimulatedGroupOptions {
    /** Harmless requests per second, over all gateways. */
    readonly load?: number;
    /** Number of distinct requests that crash every target which runs them. */
    readonly culprits?: number;
    /** Spontaneous crashes of targets per minute. */
    readonly crashesPerMinute?: number;
    /** Number of parts that crash every target which begins to answer a prompt with them. */
    readonly deadlyParts?: number;
    /** Requests per second with each of these parts, no two alike, over all gateways. */
    readonly deadlyRate?: number;
    /** Milliseconds of load before the first of these requests. */
    readonly deadlyFrom?: number;
    /** Number of subjects; the prompt of a harmless request has one of them. */
    readonly subjects?: number;
    /** Whether the prompts of all requests begin with the same part. */
    readonly hasCommonPart?: boolean;
    /** Share of the requests that targets answer with an error before they run them. */
    readonly failedShare?: number;
    /** Whether all callers are at the first gateway. */
    readonly hasCallersAtOne?: boolean;
    /** Whether answers have no length, so that a crash may look like their end. */
    readonly endsQuietly?: boolean;
    /** Whether a request with a deadly part always has the same subject; otherwise any. */
    readonly hasFixedSubject?: boolean;
}

/** The outcome of a caller's request over all its attempts. */
export interface CallerOutcome {
    readonly body: string;
    /** Time of its first attempt. */
    readonly startedAt: number;
    readonly isServed: boolean;
    /** The unsuccessful answers. */
    readonly failures: readonly CallerFailure[];
}

/** An unsuccessful answer. */
export interface CallerFailure {
    /** The result code, if the gateway gave one. */
    readonly result: number | undefined;
    /** Whether the answer has a `Retry-After` header. */
    readonly hasRetryAfter: boolean;
}

interface SiteGateway {
    readonly group: SimulatedGateway;
    readonly router: SimulatedRouter;
    /** Answers in progress. */
    readonly answers: Set<SimulatedAnswer>;
}

/** Milliseconds from a crash until the target's entry expires. */
const entryExpiry = 3_600;
/** Bounds of the milliseconds from a crash until the restarted target is listed. */
const restartTime = { least: 4_000, most: 6_000 };
/** A caller retries once. */
const attempts = 2;
/** Bounds of the milliseconds between two requests of a culprit's caller. */
const culpritPause = { least: 100, most: 3_000 };
const deadlyMark = "deadly";
/** The subject of requests with a deadly part that always have the same one. */
const fixedSubject = 3;
/** Targets of the single chain of each data centre. */
const targetsPerChain = 2;
const layersPerTarget = 40;

/**
 * Simulated gateways, with the modules that decide where requests are sent, and targets that crash when they run
 * certain requests ("culprits") and restart some seconds later. Callers choose gateways at random and retry once when
 * they are not served; callers of culprits send their request again until the simulation ends.
 */
export class CrashingSite {
    readonly group: SimulatedGroup;
    readonly store: SimulatedStore;
    readonly outcomes: CallerOutcome[] = [];
    /** Times at which each culprit crashed a target, by request body or deadly part. */
    readonly crashes = new Map<string, number[]>();
    /** Times at which each request reached a target, by request body, and by deadly part. */
    readonly arrivals = new Map<string, number[]>();
    private readonly targets: SimulatedTarget[] = [];
    private readonly gateways: SiteGateway[];
    private readonly random: Random;
    private readonly options: Required<Omit<CrashingSiteOptions, keyof SimulatedGroupOptions>> & {
        readonly gatewaysEach: number;
    };
    private requests = 0;
    private isOver = false;

    constructor(options: CrashingSiteOptions = {}) {
        const { seed = 1, gatewaysEach = 2 } = options;
        this.options = {
            load: 40,
            culprits: 1,
            crashesPerMinute: 0,
            deadlyParts: 0,
            deadlyRate: 5,
            deadlyFrom: 0,
            subjects: 0,
            hasCommonPart: false,
            hasFixedSubject: false,
            failedShare: 0,
            hasCallersAtOne: false,
            endsQuietly: false,
            ...options,
            gatewaysEach,
        };
        this.group = new SimulatedGroup({ dataCentres: 3, ...options, gatewaysEach });
        this.store = new SimulatedStore(this.group.clock);
        this.random = seededRandom(seed + 500);
        this.gateways = this.group.gateways.map(gateway => this.createGateway(gateway));
        for (let dataCentre = 0; dataCentre < (options.dataCentres ?? 3); dataCentre++) {
            for (let index = 0; index < targetsPerChain; index++) {
                this.startTarget(`dc-${dataCentre}`, dataCentre * targetsPerChain + index, index);
            }
        }
    }

    /** Runs under load for `duration` milliseconds, then for 5 s without new requests so that open ones can end. */
    async run(duration: number): Promise<void> {
        await this.group.runAsync(2_000);
        this.scheduleRequest();
        this.scheduleCrash();
        for (let culprit = 0; culprit < this.options.culprits; culprit++) {
            this.sendCulprit(`culprit ${culprit}`);
        }
        for (let part = 0; part < this.options.deadlyParts; part++) {
            this.after(this.options.deadlyFrom, () => this.scheduleDeadlyRequest(`${deadlyMark} ${part}`));
        }
        await this.group.runAsync(duration);
        this.isOver = true;
        await this.group.runAsync(5_000);
    }

    /** Whether targets also crash without a request that causes it. */
    get crashesByThemselves(): boolean {
        return this.options.crashesPerMinute > 0;
    }

    /** Schedules an action `delay` milliseconds from now. */
    after(delay: number, action: () => void): void {
        this.group.clock.schedule(action, delay);
    }

    /** Kills all gateways and restarts them immediately without their state. */
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
        group.onPeerSums(others => crashes.receive(others));
        group.overrideState(() => ({
            ...crashes.describe(),
            chainLoads: Object.fromEntries(chains.headLoads()),
            suspects: suspicions.listLost(),
        }));
        this.targets.forEach(({ target, isDown }) => isDown ? undefined : directory.put(target));
        return { group, router, answers: new Set() };
    }

    private startTarget(dataCentre: string, port: number, half: number): void {
        const { clock } = this.group;
        const layers = { first: half * layersPerTarget, end: (half + 1) * layersPerTarget };
        const target = { ...testTarget(`t${port}`, "small", layers, dataCentre), startedAt: clock.now() };
        const simulated = new SimulatedTarget({
            clock,
            random: this.random,
            target,
            failedShare: this.options.failedShare,
            endsQuietly: this.options.endsQuietly,
            crashesUnder: body => culpritsIn(body).length > 0,
            onArrival: body => [body, ...deadlyIn(body)].forEach(key => recordTime(this.arrivals, key, clock.now())),
            onCrash: body => {
                culpritsIn(body ?? "").forEach(culprit => recordTime(this.crashes, culprit, clock.now()));
                clock.schedule(() => this.updateDirectories(directory => directory.remove(target.id, 0)), entryExpiry);
                clock.schedule(() => this.startTarget(dataCentre, port, half), this.draw(restartTime));
            },
        });
        const known = this.targets.findIndex(other => other.target.port === target.port);
        this.targets.splice(known === -1 ? this.targets.length : known, known === -1 ? 0 : 1, simulated);
        this.updateDirectories(directory => directory.put(target));
    }

    private updateDirectories(change: (directory: TargetDirectory) => void): void {
        this.gateways.forEach(({ router }) => change(router.directory));
    }

    private targetAt(port: number): SimulatedTarget {
        const found = this.targets.find(({ target }) => target.port === port);
        if (found === undefined) {
            throw new Error(`no target at port ${port}`);
        }
        return found;
    }

    private scheduleRequest(): void {
        if (this.isOver || this.options.load === 0) {
            return;
        }
        const pause = -Math.log(1 - this.random.next()) * 1_000 / this.options.load;
        this.group.clock.schedule(() => {
            this.sendRequest(`question ${this.requests++}${this.writeParts()}`, attempts);
            this.scheduleRequest();
        }, Math.round(pause));
    }

    private scheduleDeadlyRequest(part: string): void {
        if (this.isOver) {
            return;
        }
        this.sendRequest(`question ${this.requests++}${this.writeParts(part)}`, attempts);
        const pause = -Math.log(1 - this.random.next()) * 1_000 / this.options.deadlyRate;
        this.after(Math.round(pause), () => this.scheduleDeadlyRequest(part));
    }

    /** Writes the parts of a prompt as they stand in a body; a few subjects are much more frequent than others. */
    private writeParts(deadlyPart?: string): string {
        const { subjects, hasCommonPart, hasFixedSubject } = this.options;
        const drawn = subjects === 0 ? 0 : Math.floor(subjects * this.random.next() ** 2);
        const subject = deadlyPart !== undefined && hasFixedSubject ? fixedSubject : drawn;
        const parts = [
            ...hasCommonPart ? ["common"] : [],
            ...subjects > 0 ? [`subject ${subject}`] : [],
            ...deadlyPart === undefined ? [] : [deadlyPart],
        ];
        return parts.length === 0 ? "" : `|${parts.join(",")}`;
    }

    private scheduleCrash(): void {
        const { crashesPerMinute } = this.options;
        if (this.isOver || crashesPerMinute === 0) {
            return;
        }
        const pause = -Math.log(1 - this.random.next()) * 60_000 / crashesPerMinute;
        this.group.clock.schedule(() => {
            const heads = this.targets.filter(({ isDown, target }) => !isDown && target.layers?.first === 0);
            heads[Math.floor(this.random.next() * heads.length)]?.crash();
            this.scheduleCrash();
        }, Math.round(pause));
    }

    /** Sends a culprit's request, and again after each answer until the simulation ends. */
    private sendCulprit(body: string): void {
        if (!this.isOver) {
            this.sendRequest(body, attempts, () => {
                this.group.clock.schedule(() => this.sendCulprit(body), this.draw(culpritPause));
            });
        }
    }

    /** Sends a caller's request through a random gateway and retries it while attempts are left. */
    private sendRequest(
        body: string,
        left: number,
        onEnd: () => void = () => undefined,
        failures: readonly CallerFailure[] = [],
        startedAt = this.group.clock.now(),
    ): void {
        const living = this.gateways.filter(({ group }) => this.group.runningGateways.includes(group));
        const gateway = living[this.options.hasCallersAtOne ? 0 : Math.floor(this.random.next() * living.length)];
        if (gateway === undefined) {
            return;
        }
        const answer = gateway.router.start(body);
        gateway.answers.add(answer);
        answer.whenOver(() => {
            gateway.answers.delete(answer);
            const isServed = answer.statusCode === 200 && answer.isComplete;
            const { resultNumber: result, hasRetryAfter } = answer;
            const all = isServed ? failures : [...failures, { result, hasRetryAfter }];
            if (isServed || left <= 1) {
                this.outcomes.push({ body, startedAt, isServed, failures: all });
                onEnd();
                return;
            }
            this.group.clock.schedule(() => this.sendRequest(body, left - 1, onEnd, all, startedAt), 2);
        });
    }

    private draw({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least + Math.floor(this.random.next() * (most - least));
    }
}

/** Lists the deadly parts of a request's prompt. */
export function deadlyIn(body: string): string[] {
    return partsOf(body).filter(part => part.startsWith(deadlyMark));
}

/** Lists what crashes the targets of a request. */
function culpritsIn(body: string): string[] {
    return body.startsWith("culprit") ? [body] : deadlyIn(body);
}

function recordTime(times: Map<string, number[]>, body: string, time: number): void {
    times.set(body, [...times.get(body) ?? [], time]);
}
