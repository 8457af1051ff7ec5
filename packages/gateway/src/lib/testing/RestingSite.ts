import { type Random, seededRandom } from "@waxwingspar/utils";
import { createGroupRouter } from "./createGroupRouter.js";
import { testTarget } from "./fixtures.js";
import { type SimulatedAnswer } from "./SimulatedAnswer.js";
import { type SimulatedGateway, SimulatedGroup, type SimulatedGroupOptions } from "./SimulatedGroup.js";
import { plainService, type SimulatedRouter } from "./SimulatedRouter.js";
import { SimulatedStore } from "./SimulatedStore.js";
import { SimulatedTarget } from "./SimulatedTarget.js";

/** Options of {@link RestingSite}. */
export interface RestingSiteOptions extends SimulatedGroupOptions {
    /** Requests per second, over all gateways; half of them are streams, if there are chains. */
    readonly load?: number;
    readonly plainTargets?: number;
    /** Number of data centres with a chain. */
    readonly chains?: number;
    /** Share of the connections, and of the refusals, that are on their way for up to 400 ms. */
    readonly slowShare?: number;
    /** Number of times that a caller comes back after a refusal. */
    readonly returns?: number;
}

/** The requests of one incarnation of a gateway. */
export interface RestingGateway {
    readonly group: SimulatedGateway;
    readonly router: SimulatedRouter;
    readonly answers: Set<SimulatedAnswer>;
}

/** A request that reached a target, or a word of a target that reached a gateway. */
interface Arrival {
    readonly at: number;
    readonly gateway: RestingGateway;
    /** The target, which stands for its incarnation. */
    readonly target: SimulatedTarget;
}

/** A rest that a target asked a gateway for; `at` is the moment of the refusal. */
interface AskedRest extends Arrival {
    readonly until: number;
}

/** A refusal by a gateway, and what held at that moment. */
export interface GatewayRefusal {
    /** Milliseconds that the caller waited for it. */
    readonly after: number;
    /** Milliseconds until the caller may return; undefined if the refusal does not say it is safe to return. */
    readonly retryAfter: number | undefined;
    /** Milliseconds until the first target that could serve the request ends the rest it asked this gateway for. */
    readonly restLeft: number;
}

const targetsPerChain = 2;
const layersPerTarget = 40;
/** Number of the first target of the service without chains. */
const firstPlain = 500;
const millisecondsPerSecond = 1_000;
const maxSlowLatency = 400;
/** Milliseconds after a refusal in which requests that were on their way may arrive. */
const onTheWay = 500;
/** Milliseconds that a request needs to arrive at a target once the gateway has sent it on an open connection. */
const arrivalTime = 2;
const refusedStatus = 503;

/** Simulated gateways under load, with targets that refuse requests, ask for rest, and say that they leave. */
export class RestingSite {
    readonly group: SimulatedGroup;
    readonly gateways: RestingGateway[];
    readonly targets: SimulatedTarget[] = [];
    readonly answers: SimulatedAnswer[] = [];
    readonly refusals: GatewayRefusal[] = [];
    readonly arrivals: Arrival[] = [];
    readonly rests: AskedRest[] = [];
    /** Number of requests that callers made, not counting those that came back. */
    requests = 0;
    served = 0;
    private readonly leavingTold: Arrival[] = [];
    private readonly store: SimulatedStore;
    private readonly random: Random;
    private isOver = false;

    constructor(private readonly options: RestingSiteOptions = {}) {
        const { seed = 1, plainTargets = 3, chains = 0 } = options;
        this.group = new SimulatedGroup({ dataCentres: 3, ...options });
        this.store = new SimulatedStore(this.group.clock);
        this.random = seededRandom(seed + 500);
        for (let index = 0; index < chains * targetsPerChain; index++) {
            this.targets.push(this.createTarget(index));
        }
        for (let index = 0; index < plainTargets; index++) {
            this.targets.push(this.createTarget(firstPlain + index));
        }
        this.gateways = this.group.gateways.map(gateway => this.createGateway(gateway));
    }

    /** Runs under load for `duration` milliseconds, then until what was sent has ended. */
    async run(duration: number): Promise<void> {
        await this.group.runAsync(2_500);
        this.scheduleRequest();
        await this.group.runAsync(duration);
        this.isOver = true;
        await this.group.runAsync(3_000);
    }

    /** Schedules an action `delay` milliseconds from now. */
    after(delay: number, action: () => void): void {
        this.group.clock.schedule(action, delay);
    }

    get plain(): SimulatedTarget[] {
        return this.targets.filter(isPlain);
    }

    /** The first target of each chain. */
    get heads(): SimulatedTarget[] {
        return this.targets.filter(({ target }) => target.layers?.first === 0);
    }

    /** Kills a gateway and starts it again without its state. */
    restartGateway(index: number): void {
        const [old] = this.gateways.splice(index, 1);
        if (old === undefined) {
            return;
        }
        old.group.isDown = true;
        old.router.chains.stop();
        old.answers.forEach(answer => answer.breakConnection());
        const [, dataCentre, number] = /(\d+)-(\d+)$/.exec(old.group.name) ?? [];
        const group = this.group.add(Number(dataCentre), Number(number));
        this.group.introduce(group);
        this.gateways.push(this.createGateway(group));
    }

    /** Replaces a target by a new incarnation, which asks for no rest and is not leaving. */
    restartTarget(old: SimulatedTarget): void {
        old.crash();
        const started = this.createTarget(Number(old.target.id.slice(1)), this.group.clock.now());
        this.targets[this.targets.indexOf(old)] = started;
        this.gateways.forEach(({ router }) => router.directory.put(started.target));
    }

    /** Lists a target again as ready, as an entry that was written before it left. */
    listAgain({ target }: SimulatedTarget): void {
        this.gateways.forEach(({ router }) => router.directory.put(target));
    }

    /** The most requests that arrived from one gateway between half a second after a refusal and the end of its rest. */
    get worstRest(): number {
        return Math.max(
            0,
            ...this.rests.map(rest =>
                this.arrivals.filter(({ at, gateway, target }) =>
                    gateway === rest.gateway && target === rest.target && at > rest.at + onTheWay && at <= rest.until
                ).length
            ),
        );
    }

    /** Number of requests that a gateway sent to a target after a reply had told it that this one is leaving. */
    get sentToLeaving(): number {
        const told = new Map<SimulatedTarget, Map<RestingGateway, number>>();
        for (const { at, gateway, target } of this.leavingTold) {
            const times = told.get(target) ?? new Map<RestingGateway, number>();
            times.set(gateway, Math.min(at, times.get(gateway) ?? Infinity));
            told.set(target, times);
        }
        return this.arrivals.filter(({ at, gateway, target }) =>
            at > (told.get(target)?.get(gateway) ?? Infinity) + arrivalTime
        ).length;
    }

    private createTarget(index: number, startedAt = 0): SimulatedTarget {
        const isPlainTarget = index >= firstPlain;
        const first = index % targetsPerChain * layersPerTarget;
        const dataCentre = isPlainTarget ? `dc-${index % 3}` : `dc-${Math.floor(index / targetsPerChain)}`;
        const layers = isPlainTarget ? undefined : { first, end: first + layersPerTarget };
        const listed = { ...testTarget(`t${index}`, "small", layers, dataCentre), startedAt };
        const simulated: SimulatedTarget = new SimulatedTarget({
            clock: this.group.clock,
            random: this.random,
            target: isPlainTarget ? { ...listed, service: plainService } : listed,
            crashesUnder: () => false,
            onCrash: () => undefined,
            events: isPlainTarget ? 1 : undefined,
            latency: () => ({ connect: this.drawLatency(1), reply: this.drawLatency(0) }),
            onArrival: body =>
                this.withGateway(body, gateway => {
                    this.arrivals.push({ at: this.group.clock.now(), gateway, target: simulated });
                }),
            onRest: (body, duration, delay) =>
                this.withGateway(body, gateway => {
                    const at = this.group.clock.now() - delay;
                    this.rests.push({ at, until: at + duration, gateway, target: simulated });
                }),
            onLeavingTold: body =>
                this.withGateway(body, gateway => {
                    this.leavingTold.push({ at: this.group.clock.now(), gateway, target: simulated });
                }),
        });
        return simulated;
    }

    /** Calls `note` with the gateway that sent a request, unless it was killed meanwhile. */
    private withGateway(body: string, note: (gateway: RestingGateway) => void): void {
        const gateway = this.gateways.find(({ group }) => body === `from ${group.name}`);
        if (gateway !== undefined) {
            note(gateway);
        }
    }

    private drawLatency(usual: number): number {
        const { slowShare = 0 } = this.options;
        return this.random.next() < slowShare ? usual + Math.floor(this.random.next() * maxSlowLatency) : usual;
    }

    private createGateway(group: SimulatedGateway): RestingGateway {
        const router = createGroupRouter({
            clock: this.group.clock,
            gateway: group,
            store: this.store,
            random: seededRandom(Math.floor(this.random.next() * 1_000_000)),
            targetAt: port => this.targetAt(port),
        });
        group.overrideState(() => ({ chainLoads: Object.fromEntries(router.chains.headLoads()) }));
        this.targets.forEach(({ target }) => router.directory.put(target));
        return { group, router, answers: new Set() };
    }

    private targetAt(port: number): SimulatedTarget {
        const found = this.targets.find(({ target }) => target.port === port);
        if (found === undefined) {
            throw new Error(`no target at port ${port}`);
        }
        return found;
    }

    private scheduleRequest(): void {
        const { load = 40, chains = 0, returns = 1 } = this.options;
        const pause = -Math.log(1 - this.random.next()) * millisecondsPerSecond / load;
        this.after(Math.round(pause), () => {
            if (!this.isOver) {
                this.requests++;
                this.sendRequest(chains > 0 && this.random.next() < 0.5, returns);
                this.scheduleRequest();
            }
        });
    }

    private sendRequest(isStream: boolean, returns: number): void {
        const running = this.gateways.filter(({ group }) => this.group.runningGateways.includes(group));
        const gateway = running[Math.floor(this.random.next() * running.length)];
        if (gateway === undefined) {
            return;
        }
        const { router, group } = gateway;
        const startedAt = this.group.clock.now();
        const body = `from ${group.name}`;
        const answer = isStream ? router.start(body) : router.startPlain(body);
        this.answers.push(answer);
        gateway.answers.add(answer);
        answer.whenOver(() => {
            gateway.answers.delete(answer);
            if (answer.statusCode !== refusedStatus || !this.gateways.includes(gateway)) {
                this.served += answer.statusCode === 200 && answer.isComplete ? 1 : 0;
                return;
            }
            const retryAfter = answer.retryAfter === undefined ? undefined : answer.retryAfter * millisecondsPerSecond;
            const after = this.group.clock.now() - startedAt;
            this.refusals.push({ after, retryAfter, restLeft: this.restLeft(gateway, isStream) });
            if (returns > 0 && retryAfter !== undefined) {
                this.after(Math.max(1, Math.round(retryAfter)), () => this.sendRequest(isStream, returns - 1));
            }
        });
    }

    /** Milliseconds until a gateway may send to one of the targets that could serve a request; 0 if it may now. */
    private restLeft(gateway: RestingGateway, isStream: boolean): number {
        const now = this.group.clock.now();
        const usable = (isStream ? this.heads : this.plain).filter(({ isDown, isLeaving }) => !isDown && !isLeaving);
        const ends = usable.map(target =>
            Math.max(
                0,
                ...this.rests.filter(rest => rest.gateway === gateway && rest.target === target).map(({ until }) =>
                    until
                ),
            )
        );
        return Math.max(0, Math.min(...ends) - now);
    }
}

function isPlain({ target }: SimulatedTarget): boolean {
    return target.service === plainService;
}
