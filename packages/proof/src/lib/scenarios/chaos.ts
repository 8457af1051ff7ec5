import { type Random } from "@waxwingspar/utils";
import { setTimeout as pause } from "node:timers/promises";
import { type Site } from "../site/Site.js";
import { type Scenario } from "./Scenario.js";

const rounds = 16;
/** Milliseconds between the starts of two rounds. */
const roundLength = 1200;
/** Milliseconds that a fault lasts. */
const faultTime = 2500;

type Fault = (site: Site, victim: string) => Promise<void>;

/** Faults of one daemon; each resolves once the daemon is running again. */
const faults: readonly Fault[] = [
    async function killAndReplace(site, victim) {
        const daemon = site.daemon(victim);
        await site.killHost(victim);
        if (daemon.role === "agent") {
            await site.startEngine(daemon);
        }
        await site.startDaemon(victim);
    },
    async function killAndRestart(site, victim) {
        await site.kill(victim);
        await pause(faultTime);
        await site.startDaemon(victim);
    },
    async function leaveAndReturn(site, victim) {
        await site.terminate(victim);
        await site.startDaemon(victim);
    },
    async function pauseAndResume(site, victim) {
        site.pause(victim);
        await pause(faultTime);
        site.resume(victim);
    },
    async function hangEngine(site, victim) {
        site.pause(`engine-${victim}`);
        await pause(faultTime);
        site.resume(`engine-${victim}`);
    },
    async function loseAnswers(site) {
        await site.setStoreFaults({ losesBefore: 1, losesAfter: 2 });
    },
];

function choose<T>(random: Random, items: readonly T[]): T | undefined {
    return items[random.below(items.length)];
}

/** Overlapping random faults of random daemons, and a random daemon whose links are cut one way or both. */
export const chaos: Scenario = {
    name: "chaos",
    row: "two of these at once",
    summary:
        "16 times, every 1.2 s, a random daemon is killed and replaced, killed and restarted later, stopped gracefully "
        + "and started, paused, or gets a hanging engine, or the store loses answers; at the same time a random daemon is "
        + "cut off one way or both for 2.5 s",
    async run({ site, random, markFault }) {
        const names = site.layout.daemons.map(({ name }) => name);
        const free = new Set(names);
        const pending: Promise<void>[] = [];
        markFault();
        for (let round = 0; round < rounds; round++) {
            const victim = choose(random, [...free]);
            const fault = choose(random, faults);
            if (victim !== undefined && fault !== undefined) {
                free.delete(victim);
                pending.push(fault(site, victim).then(() => void free.add(victim)));
            }
            if (round % 2 === 0) {
                const cut = choose(random, names);
                const oneWay = random.below(2) === 0;
                site.linkFault = (from, to) => from === cut || (!oneWay && to === cut) ? { cut: true } : undefined;
            }
            await pause(roundLength);
        }
        site.linkFault = () => undefined;
        await site.setStoreFaults({ losesBefore: 0, losesAfter: 0 });
        await Promise.all(pending);
        await pause(faultTime);
    },
};
