import { type Random } from "@waxwingspar/utils";
import { type LimitedSite } from "./LimitedSite.js";
import { type SimulatedGateway } from "./SimulatedGroup.js";

/** Options of {@link disturbLimitedSite}. */
export interface LimitedSiteDisturbanceOptions {
    readonly random: Random;
    /** Milliseconds until the first disturbance. */
    readonly startsIn: number;
    /** Number of data centres in which gateways may join. */
    readonly dataCentres: number;
}

const limits = [0, 0.5, 2, 3, 4.1, 8, 12, undefined];
/** Bounds of the milliseconds between two disturbances, and of how long a fault of a head and a cut last. */
const pause = { least: 1_500, most: 4_500 };
const headFaultTime = { least: 300, most: 2_500 };
const cutTime = { least: 500, most: 10_000 };
/** Number of the first gateway that joins, beyond those of the start. */
const firstJoined = 40;

/**
 * Changes and lifts limits, restarts and adds gateways, cuts the group in two, and makes heads of chains refuse or fall
 * silent, so that requests are repeated and streams resumed; at random and overlapping.
 */
export function disturbLimitedSite(site: LimitedSite, options: LimitedSiteDisturbanceOptions): void {
    const { random, startsIn, dataCentres } = options;
    const pick = (count: number) => Math.floor(random.next() * count);
    const draw = ({ least, most }: typeof pause) => least + pick(most - least);
    const cuts = new Set<ReadonlySet<SimulatedGateway>>();
    site.group.isCut = (from, to) => [...cuts].some(side => side.has(from) !== side.has(to));
    const cut = (isInside: () => boolean) => {
        const side = new Set(site.gateways.filter(isInside).map(({ group }) => group));
        cuts.add(side);
        site.after(draw(cutTime), () => cuts.delete(side));
    };
    const pickHead = () => site.heads[pick(site.heads.length)];
    const refuseFor = (duration: number) => {
        const head = pickHead();
        if (head !== undefined) {
            head.isRefusing = true;
            site.after(duration, () => head.isRefusing = false);
        }
    };
    let joined = firstJoined;
    const disturbances = [
        () => site.setLimit(limits[pick(limits.length)]),
        () => site.restart(pick(site.gateways.length)),
        () => site.join(pick(dataCentres), joined++),
        () => cut(() => random.next() < 0.5),
        () => cut(() => random.next() < 1 / site.gateways.length),
        () => pickHead()?.fallSilent(draw(headFaultTime)),
        () => refuseFor(draw(headFaultTime)),
    ];
    const disturb = () => {
        disturbances[pick(disturbances.length)]?.();
        site.after(draw(pause), disturb);
    };
    site.after(startsIn, disturb);
}
