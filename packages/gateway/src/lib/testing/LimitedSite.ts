import { type Random, seededRandom } from "@waxwingspar/utils";
import { createGroupRouter } from "./createGroupRouter.js";
import { testTarget } from "./fixtures.js";
import { LimitHistory } from "./LimitHistory.js";
import { type SimulatedAnswer } from "./SimulatedAnswer.js";
import { type SimulatedGateway, SimulatedGroup, type SimulatedGroupOptions } from "./SimulatedGroup.js";
import { type SimulatedRouter } from "./SimulatedRouter.js";
import { SimulatedStore } from "./SimulatedStore.js";
import { SimulatedTarget } from "./SimulatedTarget.js";

/** Options of {@link LimitedSite}. */
export interface LimitedSiteOptions extends SimulatedGroupOptions {
    /** Requests per second, over all gateways. */
    readonly load?: number;
    /** Number of data centres with a chain; the head of the first one names limits. */
    readonly chains?: number;
    /** Share of the requests that arrive at the first gateway; the others are spread evenly. */
    readonly skew?: number;
}

interface SiteGateway {
    readonly group: SimulatedGateway;
    readonly router: SimulatedRouter;
    /** Answers in progress. */
    readonly answers: Set<SimulatedAnswer>;
    /** When it passed on the first answer with a limit of the target's current incarnation. */
    toldAt: number;
}

interface Arrival {
    readonly at: number;
    readonly gateway: SiteGateway;
}

const targetsPerChain = 2;
const layersPerTarget = 40;
const millisecondsPerSecond = 1_000;

/** Simulated gateways under load, and targets of which one limits the requests that it takes from all of them. */
export class LimitedSite {
    readonly group: SimulatedGroup;
    readonly gateways: SiteGateway[];
    readonly answers: SimulatedAnswer[] = [];
    /** Requests that reached the limited target. */
    readonly arrivals: Arrival[] = [];
    private readonly limits = new LimitHistory();
    private readonly targets: SimulatedTarget[] = [];
    private readonly store: SimulatedStore;
    private readonly random: Random;
    private isOver = false;

    constructor(private readonly options: LimitedSiteOptions = {}) {
        const { seed = 1, chains = 3 } = options;
        this.group = new SimulatedGroup({ dataCentres: 3, ...options });
        this.store = new SimulatedStore(this.group.clock);
        this.random = seededRandom(seed + 500);
        for (let port = 0; port < chains * targetsPerChain; port++) {
            this.targets.push(this.createTarget(port));
        }
        this.gateways = this.group.gateways.map(gateway => this.createGateway(gateway));
    }

    /** Runs without load until the gateways know each other, then under load for `duration` milliseconds. */
    async run(duration: number): Promise<void> {
        await this.group.runAsync(2_500);
        this.scheduleRequest();
        await this.group.runAsync(duration);
        this.isOver = true;
    }

    /** Schedules an action `delay` milliseconds from now. */
    after(delay: number, action: () => void): void {
        this.group.clock.schedule(action, delay);
    }

    /** Sets the limit of the target in requests per second, or lifts it. */
    setLimit(rate: number | undefined): void {
        const [target] = this.targets;
        if (target !== undefined) {
            target.limit = rate;
            this.limits.set(this.group.clock.now(), rate);
        }
    }

    /** Kills a gateway and starts it again without its state. */
    restart(index: number): void {
        const [old] = this.gateways.splice(index, 1);
        if (old === undefined) {
            return;
        }
        old.group.isDown = true;
        old.router.chains.stop();
        old.answers.forEach(answer => answer.breakConnection());
        const [, dataCentre, number] = /(\d+)-(\d+)$/.exec(old.group.name) ?? [];
        this.join(Number(dataCentre), Number(number));
    }

    /** Starts a gateway. */
    join(dataCentre: number, number: number): void {
        const group = this.group.add(dataCentre, number);
        this.group.introduce(group);
        this.gateways.push(this.createGateway(group));
    }

    /** The first target of each chain; the limited one comes first. */
    get heads(): SimulatedTarget[] {
        return this.targets.filter(({ target }) => target.layers?.first === 0);
    }

    /** Requests in the worst window beyond what the limits allow; 0 or less if they were respected. */
    get worstExcess(): number {
        return this.limits.worstExcess(this.arrivals.map(({ at, gateway: { toldAt } }) => ({ at, toldAt })));
    }

    /** Share of the limits, from the first one on, that was used by the end of the run. */
    get use(): number {
        const sent = this.arrivals.filter(({ at }) => at >= this.limits.startedAt).length;
        return sent / this.limits.allowedUntil(this.group.clock.now());
    }

    private createTarget(port: number): SimulatedTarget {
        const first = port % targetsPerChain * layersPerTarget;
        const dataCentre = `dc-${Math.floor(port / targetsPerChain)}`;
        const isLimited = port === 0;
        return new SimulatedTarget({
            clock: this.group.clock,
            random: this.random,
            target: testTarget(`t${port}`, "small", { first, end: first + layersPerTarget }, dataCentre),
            crashesUnder: () => false,
            onCrash: () => undefined,
            onArrival: body => isLimited ? this.recordArrival(body) : undefined,
            onLimitNamed: body => this.recordTold(body),
        });
    }

    private recordArrival(body: string): void {
        const gateway = this.gatewayOf(body);
        if (gateway !== undefined) {
            this.arrivals.push({ at: this.group.clock.now(), gateway });
        }
    }

    private recordTold(body: string): void {
        const gateway = this.gatewayOf(body);
        if (gateway !== undefined) {
            gateway.toldAt = Math.min(gateway.toldAt, this.group.clock.now());
        }
    }

    /** The gateway that sent a request; undefined if it was killed meanwhile. */
    private gatewayOf(body: string): SiteGateway | undefined {
        return this.gateways.find(({ group }) => body === `from ${group.name}`);
    }

    private createGateway(group: SimulatedGateway): SiteGateway {
        const router = createGroupRouter({
            clock: this.group.clock,
            gateway: group,
            store: this.store,
            random: this.random,
            targetAt: port => this.targetAt(port),
        });
        group.onPeerSums(({ limits }) => router.limits.recordStatements(limits));
        group.overrideState(() => ({
            chainLoads: Object.fromEntries(router.chains.headLoads()),
            limits: router.limits.listStatements(),
        }));
        this.targets.forEach(({ target }) => router.directory.put(target));
        return { group, router, answers: new Set(), toldAt: Infinity };
    }

    private targetAt(port: number): SimulatedTarget {
        const found = this.targets.find(({ target }) => target.port === port);
        if (found === undefined) {
            throw new Error(`no target at port ${port}`);
        }
        return found;
    }

    private scheduleRequest(): void {
        const { load = 40 } = this.options;
        const pause = -Math.log(1 - this.random.next()) * millisecondsPerSecond / load;
        this.after(Math.round(pause), () => {
            if (!this.isOver) {
                this.sendRequest();
                this.scheduleRequest();
            }
        });
    }

    private sendRequest(): void {
        const running = this.gateways.filter(({ group }) => this.group.runningGateways.includes(group));
        const { skew = 0 } = this.options;
        const drawn = Math.floor(this.random.next() * running.length);
        const gateway = running[this.random.next() < skew ? 0 : drawn];
        if (gateway === undefined) {
            return;
        }
        const answer = gateway.router.start(`from ${gateway.group.name}`);
        this.answers.push(answer);
        gateway.answers.add(answer);
        answer.whenOver(() => gateway.answers.delete(answer));
    }
}
