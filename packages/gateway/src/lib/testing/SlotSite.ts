import { type Random, seededRandom } from "@waxwingspar/utils";
import { SlotGrants } from "../admission/SlotGrants.js";
import { type SlotPool } from "../admission/SlotPool.js";
import { silentObservation } from "./fixtures.js";
import { type SimulatedGateway, SimulatedGroup, type SimulatedGroupOptions } from "./SimulatedGroup.js";

/** Options of {@link SlotSite}. */
export interface SlotSiteOptions extends SimulatedGroupOptions {
    /** Heads of each data centre, and the requests that each of them has room for. */
    readonly headsEach?: number;
    readonly room?: number;
    /** Requests per second, over all gateways. */
    readonly load?: number;
    /** Share of the requests that arrive at the first gateway; the others are spread evenly. */
    readonly skew?: number;
    /** Share of the requests that are sent to the pool of another data centre. */
    readonly crossing?: number;
    /** Share of the requests that were interrupted. */
    readonly running?: number;
    /** Number of gateways that send without asking, as an older build does, to the first head of their data centre. */
    readonly older?: number;
}

/** A head and the requests on it. */
export interface SiteHead {
    readonly id: string;
    readonly dataCentre: string;
    readonly room: number;
    inFlight: number;
    /** Requests of precedence "running", of older builds, and those that were admitted without an issuer. */
    exempt: number;
    /** The largest number of requests that were not exempt, beyond the room. */
    worstExcess: number;
    /** Sums over the milliseconds of the requests in flight up to the room, and beyond it. */
    used: number;
    excess: number;
}

interface SiteGateway {
    readonly group: SimulatedGateway;
    readonly grants: SlotGrants;
    /** Functions that break its requests off. */
    readonly runs: Set<() => void>;
    readonly isOlder: boolean;
}

/** A request that has ended, or its refusal. */
export interface SiteResult {
    readonly at: number;
    readonly rank: number;
    readonly isGranted: boolean;
    /** Milliseconds from its arrival, or its return, to the decision. */
    readonly decided: number;
    /** Whether the head had a free slot for it, so that its first event was in time. */
    readonly isInTime: boolean;
}

/** Milliseconds of a stream. */
const shortestRun = 2_000;
const longestRun = 5_000;
const maxHold = 62;
/** Milliseconds after the end of a cut until gateways know of each other's requests. */
const contactTime = 2_000;
const timeLeft = 20_000;
const millisecondsPerSecond = 1_000;
const organisations = 6;
const ranks = 3;
/** Share of the requests of an older build's gateway that it sends: it refuses nothing by itself. */
const olderRoomShare = 0.02;

/** Gateways under load that share the slots of heads over a simulated network. */
export class SlotSite {
    readonly group: SimulatedGroup;
    readonly heads: SiteHead[] = [];
    readonly gateways: SiteGateway[] = [];
    readonly results: SiteResult[] = [];
    /** Ids of requests that were admitted without an issuer. */
    readonly alone = new Set<string>();
    /** Messages that are no heartbeats, of all gateways. */
    slotMessages = 0;
    private readonly headOf = new Map<() => void, SiteHead>();
    private readonly exempted = new Set<() => void>();
    /** Names of gateways that cannot reach others, or could not a moment ago. */
    private readonly cutOff = new Set<string>();
    private readonly random: Random;
    private requests = 0;
    private debt = 0;
    private isLoaded = false;

    constructor(private readonly options: SlotSiteOptions = {}) {
        const { seed = 1, dataCentres = 3, headsEach = 1, room = 134, older = 0 } = options;
        this.group = new SimulatedGroup({ dataCentres: 3, ...options });
        this.random = seededRandom(seed + 900);
        for (let index = 0; index < dataCentres * headsEach; index++) {
            this.heads.push({
                id: `t${index}`,
                dataCentre: `dc-${index % dataCentres}`,
                room,
                inFlight: 0,
                exempt: 0,
                worstExcess: -Infinity,
                used: 0,
                excess: 0,
            });
        }
        this.group.gateways.forEach((gateway, index) => this.add(gateway, index < older));
    }

    /** Runs without load until the gateways know each other, then under load for `duration` milliseconds. */
    async run(duration: number): Promise<void> {
        if (!this.isLoaded) {
            await this.advance(3_000);
        }
        this.isLoaded = true;
        await this.advance(duration);
    }

    /** Ends the load and waits for the requests in flight. */
    async drain(duration: number): Promise<void> {
        this.isLoaded = false;
        await this.advance(duration);
    }

    /** Changes the load. */
    set load(load: number) {
        Object.assign(this.options, { load });
    }

    /** Schedules an action `delay` milliseconds from now. */
    after(delay: number, action: () => void): void {
        this.group.clock.schedule(action, delay);
    }

    /** Kills a gateway; its requests break off. */
    kill(index: number): void {
        const [gateway] = this.gateways.splice(index, 1);
        if (gateway !== undefined) {
            gateway.group.isDown = true;
            gateway.runs.forEach(end => end());
        }
    }

    /** Kills a gateway and starts it again without its state. */
    restart(index: number): void {
        const name = this.gateways[index]?.group.name ?? "";
        const [, dataCentre, number] = /(\d+)-(\d+)$/.exec(name) ?? [];
        this.kill(index);
        this.join(Number(dataCentre), Number(number));
    }

    /** Starts a gateway. */
    join(dataCentre: number, number: number): void {
        const joined = this.group.add(dataCentre, number);
        this.group.introduce(joined);
        this.add(joined, false);
    }

    /** The number of the gateway that is the first of its data centre by address, and issues its slots. */
    findIssuer(dataCentre: string): number {
        const addresses = this.gateways.filter(({ group }) => group.dataCentre === dataCentre)
            .map(({ group: { address } }) => address).sort();
        return this.gateways.findIndex(({ group }) => group.address === addresses[0]);
    }

    /** Cuts gateways off from all others for some time. Their requests are exempt from then on. */
    cut(isCut: (gateway: SimulatedGateway) => boolean, duration: number): void {
        const names = new Set(this.gateways.map(({ group }) => group).filter(isCut).map(({ name }) => name));
        this.group.isCut = (from, to) => names.has(from.name) !== names.has(to.name);
        for (const { group, runs } of this.gateways) {
            if (names.has(group.name)) {
                this.cutOff.add(group.name);
                runs.forEach(run => this.exempt(run));
            }
        }
        this.after(duration, () => {
            this.group.isCut = () => false;
        });
        this.after(duration + contactTime, () => names.forEach(name => this.cutOff.delete(name)));
    }

    private exempt(run: () => void): void {
        const head = this.headOf.get(run);
        if (head !== undefined && !this.exempted.has(run)) {
            this.exempted.add(run);
            head.exempt++;
        }
    }

    /** The pool of a data centre. */
    pool(dataCentre: string): SlotPool {
        const heads = this.heads.filter(head => head.dataCentre === dataCentre);
        return { service: "model", dataCentre, heads: heads.map(({ id, room }) => ({ id, room })) };
    }

    private add(group: SimulatedGateway, isOlder: boolean): void {
        const grants = createGrants(group, this);
        const gateway: SiteGateway = { group, grants, runs: new Set(), isOlder };
        group.overrideState(() => ({ chainLoads: this.loadsOf(gateway) }));
        group.onDatagram(datagram => !isOlder && grants.receive(datagram));
        this.gateways.push(gateway);
    }

    private loadsOf({ runs }: SiteGateway): Record<string, number> {
        const loads: Record<string, number> = {};
        for (const run of runs) {
            const head = this.headOf.get(run);
            if (head !== undefined) {
                loads[head.id] = (loads[head.id] ?? 0) + 1;
            }
        }
        return loads;
    }

    private async advance(duration: number): Promise<void> {
        for (let left = duration; left > 0; left--) {
            this.group.run(1);
            if (this.isLoaded) {
                this.send();
            }
            await new Promise(resolve => void setImmediate(resolve));
            for (const head of this.heads) {
                const { inFlight, exempt, room } = head;
                head.worstExcess = Math.max(head.worstExcess, inFlight - exempt - room);
                head.used += Math.min(inFlight, room);
                head.excess += Math.max(0, inFlight - room);
            }
        }
    }

    private send(): void {
        const { load = 150 } = this.options;
        this.debt += load / millisecondsPerSecond;
        while (this.debt > 0) {
            this.debt += Math.log(1 - this.random.next());
            const running = this.gateways.filter(({ group }) => this.group.runningGateways.includes(group));
            const { skew = 0, crossing = 0 } = this.options;
            const drawn = this.random.next() < skew ? 0 : Math.floor(this.random.next() * running.length);
            const gateway = running[drawn];
            if (gateway !== undefined) {
                const { dataCentre } = gateway.group;
                const others = [...new Set(this.heads.map(head => head.dataCentre))].filter(name =>
                    name !== dataCentre
                );
                const other = others[Math.floor(this.random.next() * others.length)];
                const isCrossing = other !== undefined && this.random.next() < crossing;
                this.request(gateway, isCrossing ? other : dataCentre, `d${this.requests}`);
            }
        }
    }

    private request(gateway: SiteGateway, dataCentre: string, digest: string, isRepeat = false): void {
        const { running = 0 } = this.options;
        const id = `r${this.requests++}`;
        const rank = Math.floor(this.random.next() * ranks);
        const organisation = `o${Math.floor(this.random.next() * organisations)}`;
        const precedence = this.random.next() < running ? "running" as const : "waiting" as const;
        const pool = this.pool(dataCentre);
        const arrivedAt = this.group.clock.now();
        if (gateway.isOlder) {
            const head = this.heads.find(({ id: head }) => head === pool.heads[0]?.id);
            if (head !== undefined && this.loadsOf(gateway)[head.id] !== Math.ceil(head.room * olderRoomShare)) {
                this.begin(gateway, head, () => undefined, true);
            }
            return;
        }
        const hold = precedence === "running" ? 1_200 : maxHold;
        const request = { id, rank, organisation, kind: `k${rank}`, precedence, maxHold: hold, timeLeft, digest };
        void gateway.grants.acquire(pool, request).then(outcome => {
            const now = this.group.clock.now();
            const result = { at: now, rank, decided: now - arrivedAt };
            if (outcome.kind === "granted") {
                const head = this.heads.find(candidate => candidate.id === outcome.head);
                const isInTime = head !== undefined && head.inFlight < head.room;
                this.results.push({ ...result, isGranted: true, isInTime });
                if (head !== undefined && !gateway.group.isDown) {
                    this.begin(gateway, head, outcome.release, precedence === "running" || this.alone.delete(id));
                }
                return;
            }
            this.results.push({ ...result, isGranted: false, isInTime: false });
            if (!isRepeat) {
                this.after(outcome.retryAfter, () => {
                    if (this.isLoaded && !gateway.group.isDown) {
                        this.request(gateway, dataCentre, digest, true);
                    }
                });
            }
        });
    }

    private begin(gateway: SiteGateway, head: SiteHead, release: () => void, isExempt: boolean): void {
        head.inFlight++;
        const end = () => {
            if (gateway.runs.delete(end)) {
                this.headOf.delete(end);
                head.inFlight--;
                head.exempt -= this.exempted.delete(end) ? 1 : 0;
                release();
            }
        };
        gateway.runs.add(end);
        this.headOf.set(end, head);
        if (isExempt || this.cutOff.has(gateway.group.name)) {
            this.exempt(end);
        }
        this.after(shortestRun + Math.floor(this.random.next() * (longestRun - shortestRun)), end);
    }
}

/** The grants of slots as a gateway uses them. */
function createGrants(gateway: SimulatedGateway, site: SlotSite): SlotGrants {
    const { address, dataCentre, exchange, size, slotShare } = gateway;
    const { clock } = site.group;
    const observation = silentObservation(clock);
    observation.logs.limits.info = (fields: { readonly request?: string; readonly decidedBy?: string; }) => {
        if (fields.decidedBy === "silence" && fields.request !== undefined) {
            site.alone.add(fields.request);
        }
    };
    const grants = new SlotGrants({
        clock,
        random: seededRandom(Number(address.replaceAll(/\D/g, "")) + clock.now()),
        chainLoad: head => exchange.others.chainLoads[head] ?? 0,
        observation,
        group: {
            address,
            dataCentre,
            findIssuer: name => exchange.findIssuer(name),
            get groupSize() {
                return size.value;
            },
            get localSize() {
                return slotShare.localSize;
            },
            get localMembers() {
                return slotShare.localMembers;
            },
            get slotShare() {
                return slotShare.value;
            },
            send: (to, datagram) => {
                site.slotMessages++;
                gateway.send(to, datagram);
            },
        },
    });
    gateway.onPeerSums(() => grants.observe());
    return grants;
}
