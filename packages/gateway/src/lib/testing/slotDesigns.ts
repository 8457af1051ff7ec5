import { type Clock, type Random, seededRandom } from "@waxwingspar/utils";
import { type PoolRequest } from "../admission/SlotGrants.js";
import { type SlotOutcome, type SlotPool } from "../admission/SlotPool.js";
import { type SimulatedGateway } from "./SimulatedGroup.js";
import { type Admission, type SlotSite } from "./SlotSite.js";

const pollInterval = 5;
const reportAge = 200;

/** Holds requests until a design admits them. */
abstract class PolledAdmission implements Admission {
    protected readonly own = new Map<string, number>();
    protected waiting = 0;
    protected refusals: number[] = [];

    constructor(protected readonly clock: Clock, protected readonly random: Random) {}

    protected abstract choose(pool: SlotPool): string | undefined;
    protected abstract onBegin(head: string): void;

    acquire(pool: SlotPool, request: PoolRequest): Promise<SlotOutcome> {
        const askedAt = this.clock.now();
        this.waiting++;
        return new Promise(resolve => {
            const attempt = () => {
                const held = this.clock.now() - askedAt;
                const head = this.choose(pool);
                if (head !== undefined) {
                    this.waiting--;
                    this.own.set(head, (this.own.get(head) ?? 0) + 1);
                    this.onBegin(head);
                    const release = () => void this.own.set(head, (this.own.get(head) ?? 0) - 1);
                    resolve({ kind: "granted", head, held, release });
                }
                else if (held >= request.maxHold) {
                    this.waiting--;
                    this.refusals.push(this.clock.now());
                    resolve({ kind: "refused", reason: "full", retryAfter: 400 + 600 * this.random.next(), held });
                }
                else {
                    this.clock.schedule(attempt, pollInterval);
                }
            };
            attempt();
        });
    }
}

/** Each gateway gets the part of the room that its part of the demand is, as heartbeats tell the demand. */
class DemandShares extends PolledAdmission {
    constructor(private readonly gateway: SimulatedGateway, site: SlotSite, private readonly heads: readonly string[]) {
        super(site.group.clock, seededRandom(Number(gateway.address.replaceAll(/\D/g, ""))));
    }

    chainLoads(): Record<string, number> {
        return Object.fromEntries(
            this.heads.flatMap(head => this.demand(head) === 0 ? [] : [[head, this.demand(head)]]),
        );
    }

    protected choose({ heads }: SlotPool): string | undefined {
        const { localSize } = this.gateway.slotShare;
        return heads.find(({ id, room }) => {
            const others = this.gateway.exchange.others.chainLoads[id] ?? 0;
            const own = Math.max(1, this.demand(id));
            const share = others === 0 && localSize > 1 ? room / localSize : room * own / (own + others);
            return (this.own.get(id) ?? 0) < Math.floor(share + 0.5);
        })?.id;
    }

    protected onBegin(): void {
        // Demand is counted by what is in flight.
    }

    private demand(head: string): number {
        const bound = this.clock.now() - 1_000;
        this.refusals = this.refusals.filter(at => at >= bound);
        const inFlight = this.own.get(head) ?? 0;
        return inFlight === 0 && this.waiting === 0
            ? 0
            : inFlight + (this.waiting + this.refusals.length) / this.heads.length;
    }
}

/** Each request goes to the less loaded of two heads by their reports, to which the own sends since are added. */
class SampledReports extends PolledAdmission {
    private sent: { readonly head: string; readonly at: number; }[] = [];

    constructor(gateway: SimulatedGateway, private readonly site: SlotSite) {
        super(site.group.clock, seededRandom(Number(gateway.address.replaceAll(/\D/g, ""))));
    }

    protected choose({ heads }: SlotPool): string | undefined {
        const bound = this.clock.now() - reportAge;
        this.sent = this.sent.filter(({ at }) => at >= bound);
        const sampled = [this.pick(heads), this.pick(heads)].map(({ id, room }) => {
            const reported = this.site.reported(id, reportAge);
            return { id, free: room - reported - this.sent.filter(({ head }) => head === id).length };
        }).sort((a, b) => b.free - a.free)[0];
        return sampled !== undefined && sampled.free >= 1 ? sampled.id : undefined;
    }

    protected onBegin(head: string): void {
        this.sent.push({ head, at: this.clock.now() });
    }

    private pick<Item>(items: readonly Item[]): Item {
        return items[Math.floor(this.random.next() * items.length)]!;
    }
}

/** The designs that were compared with grants. */
export const otherDesigns = {
    shares: (gateway: SimulatedGateway, site: SlotSite) =>
        new DemandShares(gateway, site, site.heads.map(({ id }) => id)),
    sampling: (gateway: SimulatedGateway, site: SlotSite) => new SampledReports(gateway, site),
};
