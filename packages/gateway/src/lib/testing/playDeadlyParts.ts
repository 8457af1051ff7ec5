import { checkDeadlyParts, noOutage, type Outage } from "./checkDeadlyParts.js";
import { CrashingSite, type CrashingSiteOptions } from "./CrashingSite.js";

/** A play of requests with a deadly part beside harmless ones. */
export interface DeadlyPartsPlay {
    readonly name: string;
    readonly options: CrashingSiteOptions;
    /** Schedules the disturbances of a site, and returns the outage of the store among them. */
    readonly begin?: (site: CrashingSite) => Outage;
}

const seeds = [1, 2, 3];
const usual: CrashingSiteOptions = { culprits: 0, deadlyParts: 1, deadlyFrom: 5_000, subjects: 60 };
/** Milliseconds of load. */
const duration = 45_000;

/** Plays each seed. @returns What is wrong, with its seed; empty if nothing is. */
export async function playDeadlyParts({ options, begin }: Omit<DeadlyPartsPlay, "name">): Promise<string[]> {
    const faults: string[] = [];
    for (const seed of seeds) {
        const site = new CrashingSite({ ...usual, ...options, seed });
        const outage = begin?.(site) ?? noOutage;
        await site.run(duration);
        faults.push(...checkDeadlyParts(site, outage).map(fault => `seed ${seed}: ${fault}`));
    }
    return faults;
}
