import { setTimeout as pause } from "node:timers/promises";
import { type Scenario } from "./Scenario.js";

/** Milliseconds. */
const slowDelay = 60;
/** Bytes per second. */
const slowRate = 125_000;
/** Milliseconds that the fault of a link lasts. */
const linkFaultTime = 5000;
/** Milliseconds that the regions are disconnected. */
const regionFaultTime = 8000;

const linkSlow: Scenario = {
    name: "link-slow",
    row: "link slows 100x",
    summary: "every link of an agent of stage 2 has 60 ms of one-way delay (0.6 ms times 100) and 1 Mbit/s, for 5 s",
    async run({ site, random, markFault }) {
        const victim = `stage-2-${1 + random.below(2)}`;
        markFault();
        site.linkFault = (from, to) =>
            from === victim || to === victim ? { delay: slowDelay, rate: slowRate } : undefined;
        await pause(linkFaultTime);
        site.linkFault = () => undefined;
    },
};

const oneWayCut: Scenario = {
    name: "one-way-cut",
    row: "link one-way cut",
    summary: "nothing that an agent of stage 2 sends arrives for 5 s, while it receives; then it arrives late",
    async run({ site, random, markFault }) {
        const victim = `stage-2-${1 + random.below(2)}`;
        markFault();
        site.linkFault = from => from === victim ? { cut: true } : undefined;
        await pause(linkFaultTime);
        site.linkFault = () => undefined;
    },
};

const linkCut: Scenario = {
    name: "link-cut",
    row: "link one-way cut",
    summary: "nothing passes from or to an agent of stage 3 for 5 s",
    async run({ site, random, markFault }) {
        const victim = `stage-3-${1 + random.below(2)}`;
        markFault();
        site.linkFault = (from, to) => from === victim || to === victim ? { cut: true } : undefined;
        await pause(linkFaultTime);
        site.linkFault = () => undefined;
    },
};

const regionsCut: Scenario = {
    name: "regions-cut",
    row: "regions cut off",
    summary: "nothing passes between the regions north and south for 8 s; the platform is in the north",
    async run({ site, markFault }) {
        const regions = new Map(
            [...site.layout.daemons, ...site.layout.holders].map(({ name, region }) => [name, region]),
        );
        markFault();
        site.linkFault = (from = "", to) => {
            const sides = [from, to].map(name => regions.get(name) ?? (name === "region south" ? "south" : "north"));
            return sides[0] === sides[1] ? undefined : { cut: true };
        };
        await pause(regionFaultTime);
        site.linkFault = () => undefined;
    },
};

/** Scenarios with link faults. @internal */
export const networkScenarios: readonly Scenario[] = [linkSlow, oneWayCut, linkCut, regionsCut];
