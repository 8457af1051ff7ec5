import { type Random } from "@waxwingspar/utils";
import { type SlotSite } from "./SlotSite.js";

/** Bounds of the milliseconds between two disturbances, and of how long a cut lasts. */
const pause = { least: 800, most: 3_000 };
const cutTime = { least: 300, most: 6_000 };
/** Number of the first gateway that joins, beyond those of the start. */
const firstJoined = 40;
/** Share of the gateways that a cut separates from the others at most. */
const cutShare = 0.5;

/**
 * Restarts, removes and adds gateways, most often issuers, and cuts groups of them off; at random and overlapping. The
 * first gateway of each data centre is never cut off, so that all others are exempt from the bound.
 */
export function disturbSlotSite(site: SlotSite, random: Random): void {
    const pick = (count: number) => Math.floor(random.next() * count);
    const draw = ({ least, most }: typeof pause) => least + pick(most - least);
    let joined = firstJoined;
    const disturbances = [
        () => site.restart(pick(site.gateways.length)),
        () => site.restart(site.findIssuer(`dc-${pick(3)}`)),
        () => {
            const index = site.findIssuer(`dc-${pick(3)}`);
            const dataCentre = site.gateways[index]?.group.dataCentre;
            if (site.gateways.filter(({ group }) => group.dataCentre === dataCentre).length > 1) {
                site.kill(index);
            }
        },
        () => site.join(pick(3), joined++),
        () => {
            const issuers = ["dc-0", "dc-1", "dc-2"].map(name => site.gateways[site.findIssuer(name)]?.group.name);
            const share = random.next() * cutShare;
            site.cut(({ name }) => !issuers.includes(name) && random.next() < share, draw(cutTime));
        },
    ];
    const next = () => {
        disturbances[pick(disturbances.length)]?.();
        site.after(draw(pause), next);
    };
    site.after(draw(pause), next);
}
