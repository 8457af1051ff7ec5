import { type Random, seededRandom } from "@waxwingspar/utils";
import { ConfigurationSite } from "./ConfigurationSite.js";

/** What a disturbed site has shown. */
export interface DisturbedSite {
    readonly site: ConfigurationSite;
    /** Gateways that lacked a version for longer than its bound, at any moment. */
    readonly late: readonly string[];
    /** Gateways whose version went back. */
    readonly regressed: readonly string[];
    readonly events: readonly string[];
}

const disturbedTime = 25_000;
const quietTime = 20_000;
const checkInterval = 100;
/** Small seeds give similar first random numbers. */
const seedSpread = 6_364_136_223_846;
/** Bytes of the smallest document, and how many times as large the largest one is. */
const smallestDocument = 2_000;
const sizeRange = 3_000;

/**
 * Plays a site of random size, rates and delays on which versions are written, one by one and in series, while gateways
 * start, are turned away by the store, or lose their connections without notice; then a time without disturbances.
 */
export async function disturbConfigurationSite(seed: number, hasPeerCopies: boolean): Promise<DisturbedSite> {
    const random = seededRandom(seedSpread * seed);
    const between = (least: number, most: number) => least + random.next() * (most - least);
    const narrowRate = between(700, 4_000);
    const dataCentres = 1 + Math.floor(random.next() * 3);
    const gatewaysEach = 1 + Math.floor(random.next() * 8);
    const site = new ConfigurationSite({
        dataCentres,
        gatewaysEach,
        seed,
        hasPeerCopies,
        storeRate: between(3_000, 50_000),
        linkRate: index => index % 3 === 0 ? 25_000 : narrowRate,
        configurationTime: random.next() < 0.3 ? 2_000 : 3_000,
        notStarted: Math.min(dataCentres * gatewaysEach - 1, Math.floor(random.next() * 4)),
    });
    site.answerDelay = random.next() < 0.3 ? between(50, 400) : 0;
    const events: string[] = [];
    const late = new Set<string>();
    const regressed = new Set<string>();
    const versions = new Map<string, number>();
    const check = () => {
        site.listLate().forEach(one => late.add(one));
        for (const { gateway: { name }, configuration } of site.readers) {
            const version = configuration.current?.version ?? 0;
            if (version < (versions.get(name) ?? 0)) {
                regressed.add(name);
            }
            versions.set(name, version);
        }
    };
    const run = (duration: number) => site.run(Math.ceil(duration / checkInterval) * checkInterval, check);
    await run(4_000);
    for (let left = disturbedTime; left > 0;) {
        const pause = between(200, 2_500);
        left -= pause;
        events.push(await disturb(site, random, run));
        await run(pause);
    }
    await run(quietTime);
    return { site, late: [...late], regressed: [...regressed], events };
}

/** Makes one random disturbance, and marks the gateways that it disturbs. @returns What it was. */
async function disturb(
    site: ConfigurationSite,
    random: Random,
    run: (duration: number) => Promise<void>,
): Promise<string> {
    const bytes = Math.ceil(smallestDocument * sizeRange ** random.next());
    const reader = site.readers[Math.floor(random.next() * site.readers.length)];
    const kind = random.next();
    if (kind < 0.4 || reader === undefined) {
        site.publish(bytes);
        return `version of ${bytes} bytes`;
    }
    if (kind < 0.55) {
        const count = 2 + Math.floor(random.next() * 5);
        const gap = 100 + random.next() * 600;
        for (let index = 0; index < count; index++) {
            site.publish(bytes);
            await run(gap);
        }
        return `${count} versions of ${bytes} bytes`;
    }
    if (kind < 0.7) {
        reader.isRefused = true;
        await run(500 + random.next() * 3_000);
        reader.isRefused = false;
        site.disturb(reader);
        return `${reader.gateway.name} is turned away`;
    }
    if (kind < 0.85) {
        site.silenceConnections();
        return "connections fall silent";
    }
    if (!reader.hasStarted) {
        site.start(reader);
        return `${reader.gateway.name} starts`;
    }
    return "nothing";
}
