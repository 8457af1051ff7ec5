import { type Random } from "@waxwingspar/utils";
import { type RestingSite } from "./RestingSite.js";

/** Options of {@link disturbRestingSite}. */
export interface RestingSiteDisturbanceOptions {
    readonly random: Random;
    /** Milliseconds until the first disturbance. */
    readonly startsIn: number;
}

const rests = [undefined, 0, 300, 1_000, 2_500, 3_000, 6_000, 20_000];
const limits = [undefined, 2, 6, 20];
const refusedShares = [0.1, 0.3, 0.5, 1];
/** Bounds of the milliseconds between two disturbances, and of how long a target refuses or pauses. */
const pause = { least: 500, most: 2_500 };
const faultTime = { least: 300, most: 9_000 };
/** Milliseconds after a target announced its leaving until it is replaced. */
const leaveTime = 4_000;

/**
 * Makes targets refuse requests and ask for rest, name limits, pause, leave and restart, and restarts gateways; at random
 * and overlapping.
 */
export function disturbRestingSite(site: RestingSite, options: RestingSiteDisturbanceOptions): void {
    const { random, startsIn } = options;
    const pick = <T>(list: readonly T[]) => list[Math.floor(random.next() * list.length)];
    const draw = ({ least, most }: typeof pause) => least + Math.floor(random.next() * (most - least));
    const refuse = () => {
        const target = pick([...site.heads, ...site.plain]);
        if (target !== undefined) {
            target.rest = pick(rests);
            target.refusedShare = pick(refusedShares) ?? 0;
            site.after(draw(faultTime), () => target.refusedShare = 0);
        }
    };
    const disturbances = [
        refuse,
        refuse,
        refuse,
        () => {
            const target = pick([...site.heads, ...site.plain]);
            if (target !== undefined) {
                target.limit = pick(limits);
            }
        },
        () => site.restartGateway(Math.floor(random.next() * site.gateways.length)),
        () => pick([...site.heads, ...site.plain])?.fallSilent(draw(faultTime) / 4),
        () => {
            const target = pick(site.targets);
            if (target !== undefined) {
                site.restartTarget(target);
            }
        },
        () => {
            const target = pick(site.targets);
            if (target !== undefined && !target.isLeaving && !target.isDown) {
                target.isLeaving = true;
                site.after(leaveTime / 2, () => target.isDown ? undefined : site.listAgain(target));
                site.after(leaveTime, () => target.isDown ? undefined : site.restartTarget(target));
            }
        },
    ];
    const disturb = () => {
        pick(disturbances)?.();
        site.after(draw(pause), disturb);
    };
    site.after(startsIn, disturb);
}
