import { MetricRegistry } from "@waxwingspar/telemetry";
import { type Clock, ManualClock, type Random, seededRandom } from "@waxwingspar/utils";
import { SlotGrants } from "../admission/SlotGrants.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs, testTarget } from "./fixtures.js";
import { type SimulatedAnswer } from "./SimulatedAnswer.js";
import {
    createGroupOfOne,
    plainRoute,
    plainService,
    SimulatedRouter,
    type SimulatedRouterOptions,
} from "./SimulatedRouter.js";
import { SimulatedStore } from "./SimulatedStore.js";
import { SimulatedTarget } from "./SimulatedTarget.js";

/** Options of {@link PlainSlotSite}. */
export interface PlainSlotSiteOptions {
    readonly seed?: number;
    readonly gateways?: number;
    readonly targets?: number;
    /** Number of requests that each target runs at once. */
    readonly slots?: number;
    /** Whether targets list their slots. */
    readonly isListed?: boolean;
    readonly createGuard?: SimulatedRouterOptions["createGuard"];
    /** Share of the requests that targets answer with an error status. */
    readonly failedShare?: number;
}

/** Milliseconds that a datagram between gateways is on its way. */
const delay = 1;
/** Milliseconds from the start of the site until the issuer of slots decides. */
const startTime = 1_000;
/** Number of events of an answer, which takes about 0.13 s. */
const events = 2;
const millisecondsPerSecond = 1_000;

/** Gateways of one data centre, and targets of a plain service that refuse requests beyond their slots. */
export class PlainSlotSite {
    readonly clock = new ManualClock(1_000_000);
    readonly gateways: SimulatedRouter[] = [];
    readonly targets: SimulatedTarget[] = [];
    readonly answers: SimulatedAnswer[] = [];
    /** Requests that reached each target. */
    readonly arrivals: number[] = [];
    /** Requests that reached a target without a free slot. */
    arrivalsAtFull = 0;
    /** Datagrams between gateways. */
    messages = 0;
    private readonly random: Random;
    private readonly grants: SlotGrants[] = [];

    constructor(private readonly options: PlainSlotSiteOptions = {}) {
        const { seed = 1, gateways = 1, targets = 3 } = options;
        this.random = seededRandom(seed);
        for (let target = 0; target < targets; target++) {
            this.targets.push(this.createTarget(target));
            this.arrivals.push(0);
        }
        for (let gateway = 0; gateway < gateways; gateway++) {
            this.gateways.push(this.createGateway(gateway, gateways));
        }
    }

    /** Sends requests at a rate per second to random gateways for `duration` milliseconds, and waits for the answers. */
    async run(rate: number, duration: number): Promise<void> {
        this.grants.forEach(grants => grants.observe());
        await this.clock.advanceAsync(startTime);
        for (let time = 0; time < duration;) {
            const gateway = this.gateways[this.random.below(this.gateways.length)];
            this.answers.push(...gateway === undefined ? [] : [gateway.startPlain(`question ${this.answers.length}`)]);
            const pause = Math.ceil(-Math.log(1 - this.random.next()) * millisecondsPerSecond / rate);
            await this.clock.advanceAsync(pause, 1);
            time += pause;
        }
        await this.clock.advanceAsync(plainRoute.timeout, 1);
    }

    private createTarget(index: number): SimulatedTarget {
        const { slots = 6, isListed = true } = this.options;
        const target = testTarget(`t${index}`, "small");
        const simulated: SimulatedTarget = new SimulatedTarget({
            clock: this.clock,
            random: this.random,
            target: { ...target, service: plainService, slots: isListed ? slots : undefined },
            crashesUnder: () => false,
            onCrash: () => undefined,
            onArrival: () => {
                this.arrivals[index] = (this.arrivals[index] ?? 0) + 1;
                this.arrivalsAtFull += simulated.running >= slots ? 1 : 0;
            },
            events,
            failedShare: this.options.failedShare,
        });
        simulated.capacity = slots;
        return simulated;
    }

    private createGateway(index: number, count: number): SimulatedRouter {
        const { clock } = this;
        const random = seededRandom((this.options.seed ?? 1) * count + index);
        const grants = new SlotGrants({
            clock,
            random,
            group: {
                ...createGroupOfOne("x"),
                address: `${index}`,
                groupSize: count,
                localSize: count,
                localMembers: count,
                findIssuer: () => "0",
                send: (to, datagram) => this.send(clock, to, datagram),
            },
            observation: { logs: silentLogs(), metrics: new GatewayMetrics(new MetricRegistry(clock)) },
            chainLoad: () => 0,
        });
        this.grants.push(grants);
        const router = new SimulatedRouter({
            clock,
            dataCentre: "x",
            store: new SimulatedStore(clock),
            targetAt: port => this.targetAt(port),
            slots: grants,
            random,
            createGuard: this.options.createGuard,
        });
        this.targets.forEach(({ target }) => router.directory.put(target));
        return router;
    }

    private send(clock: Clock, to: string, datagram: string): void {
        this.messages++;
        clock.schedule(() => this.grants[Number(to)]?.receive(datagram), delay);
    }

    private targetAt(port: number): SimulatedTarget {
        const found = this.targets.find(({ target }) => target.port === port);
        if (found === undefined) {
            throw new Error(`no target at port ${port}`);
        }
        return found;
    }
}
