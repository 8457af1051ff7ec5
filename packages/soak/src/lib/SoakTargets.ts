import { LimitHistory } from "@waxwingspar/gateway/testing";
import {
    failAfterRun,
    type FakeStore,
    FakeTarget,
    hangUp,
    listTarget,
    refuse,
    type SeenRequest,
    serve,
    stream,
    type TargetBehaviour,
    unlistTarget,
} from "@waxwingspar/platform/testing";
import { type Random } from "@waxwingspar/utils";
import { type LimitedTarget } from "./checkSoak.js";
import { type GatewayIncarnation, type RunEnd, type SoakLog } from "./SoakLog.js";

/** Options of {@link SoakTargets}. */
export interface SoakTargetsOptions {
    readonly store: FakeStore;
    readonly random: Random;
    readonly log: SoakLog;
    readonly now: () => number;
    /** The current incarnation of a gateway. */
    readonly findSender: (gateway: string | undefined) => GatewayIncarnation | undefined;
}

interface SoakTarget extends LimitedTarget {
    readonly fake: FakeTarget;
    readonly toldAt: Map<GatewayIncarnation, number>;
}

/** Header in which callers name the gateway that they call. */
export const gatewayHeader = "x-gateway";
/** Number of events of a complete stream. */
export const streamEvents = 20;
const eventInterval = 10;
/** Bounds of the milliseconds in which a target serves a plain request. */
const serviceTime = { least: 2, most: 40 };
/** Share of plain requests that a target refuses, fails or leaves without an answer. */
const faultShare = { refused: 0.03, failed: 0.02, brokenOff: 0.02 };
/** Milliseconds from its leaving until a target ends. */
const leaveTime = 6_000;

/** The targets of a soak: a plain service, and chains of two targets in each data centre. */
export class SoakTargets {
    private readonly all: SoakTarget[] = [];
    /** Ids of those that are leaving or have left. */
    private readonly left = new Set<string>();
    private started = 0;

    constructor(private readonly options: SoakTargetsOptions) {}

    /** All targets, with the limits that they named. */
    get limited(): readonly LimitedTarget[] {
        return this.all;
    }

    /** Starts the targets of all services. */
    async start(dataCentres: readonly string[], plainTargets: number): Promise<void> {
        for (const dataCentre of dataCentres) {
            await this.add(`model-${dataCentre}-1`);
            await this.add(`model-${dataCentre}-2`);
        }
        for (let index = 0; index < plainTargets; index++) {
            await this.addPlain(dataCentres[index % dataCentres.length] ?? "");
        }
    }

    /** Names, changes or lifts the limit of a random target that gets requests from gateways. */
    changeLimit(): void {
        const { random, log, now } = this.options;
        const heads = this.listed.filter(({ id }) => id.startsWith("plain") || id.endsWith("-1"));
        const target = heads[Math.floor(random.next() * heads.length)];
        if (target === undefined) {
            return;
        }
        const rates = [undefined, 0, 0.5, 2, 3, 4.1, 8];
        target.fake.limit = rates[Math.floor(random.next() * rates.length)];
        target.limits.set(now(), target.fake.limit);
        log.event(now(), `${target.id} names the limit ${target.fake.limit ?? "none"}`);
    }

    /** Replaces a random plain target by a new one. */
    async replace(wait: (duration: number) => Promise<void>): Promise<void> {
        const { random, store, log, now } = this.options;
        const plain = this.listed.filter(({ id }) => id.startsWith("plain"));
        const target = plain[Math.floor(random.next() * plain.length)];
        if (target === undefined || plain.length < 2) {
            return;
        }
        await this.addPlain(target.id.split("-")[1] ?? "");
        this.left.add(target.id);
        listTarget(store, target.fake, "draining");
        log.departures.push({ target: target.id, at: now() });
        log.event(now(), `${target.id} leaves`);
        await wait(leaveTime / 2);
        unlistTarget(store, target.id);
        await wait(leaveTime / 2);
        target.fake.stop();
    }

    /** Stops all targets. */
    stop(): void {
        this.all.forEach(({ fake }) => fake.stop());
    }

    private get listed(): SoakTarget[] {
        return this.all.filter(({ id }) => !this.left.has(id));
    }

    private addPlain(dataCentre: string): Promise<void> {
        return this.add(`plain-${dataCentre}-${++this.started}`);
    }

    private async add(id: string): Promise<void> {
        const toldAt = new Map<GatewayIncarnation, number>();
        const fake = new FakeTarget(id, (seen, response, self) => {
            const [end, behaviour] = this.choose(seen);
            const sender = this.options.findSender(String(seen.headers[gatewayHeader]));
            const at = this.options.now();
            this.options.log.runs.push({ requestId: seen.id, target: id, at, sender, end });
            const answer: TargetBehaviour = (...parts) => {
                if (self.limit !== undefined && end !== "brokenOff" && sender !== undefined && !toldAt.has(sender)) {
                    toldAt.set(sender, this.options.now());
                }
                behaviour(...parts);
            };
            setTimeout(() => answer(seen, response, self), seen.path.startsWith("/chat/") ? 0 : this.draw(serviceTime));
        });
        this.all.push({ id, fake, limits: new LimitHistory(), toldAt });
        await fake.start();
        listTarget(this.options.store, fake);
    }

    private choose({ path }: SeenRequest): readonly [RunEnd, TargetBehaviour] {
        if (path.startsWith("/chat/")) {
            return ["served", stream(streamEvents, Infinity, eventInterval)];
        }
        const drawn = this.options.random.next();
        const { refused, failed, brokenOff } = faultShare;
        if (drawn < refused) {
            return ["refused", refuse];
        }
        if (drawn < refused + failed) {
            return ["failed", failAfterRun];
        }
        return drawn < refused + failed + brokenOff ? ["brokenOff", hangUp] : ["served", serve];
    }

    private draw({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least + this.options.random.next() * (most - least);
    }
}
