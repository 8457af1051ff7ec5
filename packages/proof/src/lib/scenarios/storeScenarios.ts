import { setTimeout as pause } from "node:timers/promises";
import { type RequestResult } from "../callers/Callers.js";
import { type Scenario, type ScenarioContext } from "./Scenario.js";

/** All times are in milliseconds. */
const outage = 20_000;
const claimsTimeout = 60_000;
const claimsPollInterval = 50;
const settleTime = 4000;
const slowDelay = 700;
const lossRounds = 12;
const lossInterval = 500;
const copyRounds = 3;
const copyAge = 1500;
const copyOutage = 500;
const copyPause = 3000;

/** Waits until a non-idempotent call sent from now on completes, and then for the settle time. */
async function waitForClaims({ clock, results, check }: ScenarioContext): Promise<void> {
    const from = clock.now();
    const isNew = ({ kind, outcome, attempts }: RequestResult) =>
        kind === "publish" && outcome === "completed" && (attempts[0]?.sentAt ?? from) > from;
    while (!results().some(isNew) && clock.now() < from + claimsTimeout) {
        await pause(claimsPollInterval);
    }
    const isGranted = results().some(isNew);
    const waited = Math.round(clock.now() - from);
    check({ name: "claims are granted again after the outage", holds: isGranted, detail: `waited ${waited} ms` });
    await pause(settleTime);
}

const storeDown: Scenario = {
    name: "store-down",
    row: "store down an hour, slow, answer lost after the write",
    summary: "the table service refuses every call for 20 s",
    async run(context) {
        const { site, markFault } = context;
        markFault();
        await site.setStoreFaults({ down: true });
        await pause(outage);
        await site.setStoreFaults({ down: false });
        await waitForClaims(context);
    },
};

const storeSlow: Scenario = {
    name: "store-slow",
    row: "store down an hour, slow, answer lost after the write",
    summary: "every call of the table service takes 0.7 s before its effect and 0.7 s after, for 8 s",
    async run({ site, markFault }) {
        markFault();
        await site.setStoreFaults({ delay: slowDelay, answerDelay: slowDelay });
        await pause(8000);
        await site.setStoreFaults({ delay: 0, answerDelay: 0 });
    },
};

const answersLost: Scenario = {
    name: "store-answers-lost",
    row: "store down an hour, slow, answer lost after the write",
    summary:
        "12 times in 6 s the next two writes take effect but their answers are lost, and one is lost before its effect",
    async run({ site, markFault }) {
        markFault();
        for (let round = 0; round < lossRounds; round++) {
            await site.setStoreFaults({ losesBefore: 1, losesAfter: 2 });
            await pause(lossInterval);
        }
        await site.setStoreFaults({ losesBefore: 0, losesAfter: 0 });
    },
};

const twoAtOnce: Scenario = {
    name: "two-at-once",
    row: "two of these at once",
    summary:
        "the store is down for 8 s; meanwhile a host of stage 2 dies, an entry dies and starts again, and an agent "
        + "beside the plain service restarts",
    async run(context) {
        const { site, random, markFault } = context;
        markFault();
        await site.setStoreFaults({ down: true });
        const stage = `stage-2-${1 + random.below(2)}`;
        const entry = `entry-${1 + random.below(2)}`;
        await Promise.all([site.killHost(stage), site.kill(entry), site.kill("records-1")]);
        const restarted = [site.startDaemon(entry), site.startDaemon("records-1")];
        await pause(8000);
        await site.setStoreFaults({ down: false });
        await Promise.all([...restarted, site.list(stage, undefined)]);
        await waitForClaims(context);
    },
};

const storeCopy: Scenario = {
    name: "store-copy",
    row: "the store comes back from an older copy (the own interface)",
    summary: "three times the table service is down for 0.5 s and is restored from a copy that is 1.5 s old",
    async run(context) {
        const { site, markFault } = context;
        markFault();
        for (let round = 0; round < copyRounds; round++) {
            await site.manageStoreCopy("save");
            await pause(copyAge);
            await site.setStoreFaults({ down: true });
            await pause(copyOutage);
            await site.manageStoreCopy("use");
            await site.setStoreFaults({ down: false });
            await pause(copyPause);
        }
        await waitForClaims(context);
    },
};

/** Scenarios with table service faults. @internal */
export const storeScenarios: readonly Scenario[] = [storeDown, storeSlow, answersLost, storeCopy, twoAtOnce];
