import assert from "node:assert/strict";
import { test } from "node:test";
import { checkDeadlyParts, noOutage, type Outage } from "../testing/checkDeadlyParts.js";
import { CrashingSite, type CrashingSiteOptions } from "../testing/CrashingSite.js";

const seeds = [1, 2, 3];
const usual: CrashingSiteOptions = { culprits: 0, deadlyParts: 1, deadlyFrom: 5_000, subjects: 60 };

interface Scenario {
    readonly name: string;
    readonly options: CrashingSiteOptions;
    readonly begin?: (site: CrashingSite) => Outage;
}

const scenarios: readonly Scenario[] = [
    { name: "one gateway", options: { dataCentres: 1, gatewaysEach: 1 } },
    { name: "6 gateways", options: {} },
    { name: "21 gateways", options: { gatewaysEach: 7 } },
    { name: "25 requests a second", options: { deadlyRate: 25 } },
    { name: "a request every 1.5 seconds", options: { deadlyRate: 0.67 } },
    { name: "since the start of the load", options: { deadlyFrom: 0 } },
    { name: "always with the same subject", options: { hasFixedSubject: true } },
    { name: "all prompts share a part", options: { hasCommonPart: true, deadlyFrom: 0 } },
    { name: "two such parts", options: { deadlyParts: 2, hasCommonPart: true } },
    { name: "150 harmless requests a second", options: { load: 150 } },
    { name: "answers without a length that a crash ends in order", options: { endsQuietly: true } },
    { name: "targets answer some requests with an error", options: { failedShare: 0.3 } },
    { name: "all callers at one of 24 gateways", options: { gatewaysEach: 8, hasCallersAtOne: true } },
    { name: "targets also crash for other reasons", options: { crashesPerMinute: 10 } },
    {
        name: "messages between gateways lost, delayed and duplicated",
        options: { loss: 0.1, duplicates: 0.1, maxDelay: 150 },
    },
    {
        name: "all gateways restart, twice",
        options: {},
        begin: site => {
            [8_000, 25_000].forEach(delay => site.after(delay, () => site.restartGateways()));
            return noOutage;
        },
    },
    {
        name: "the gateways of a data centre are cut off from the others",
        options: {},
        begin: site => {
            site.after(3_000, () => {
                site.group.isCut = (from, to) => (from.dataCentre === "dc-0") !== (to.dataCentre === "dc-0");
            });
            return noOutage;
        },
    },
    {
        name: "the store is unavailable for ten seconds",
        options: {},
        begin: site => {
            const start = site.group.clock.now() + 5_000;
            site.after(5_000, () => site.store.setDown(true));
            site.after(15_000, () => site.store.setDown(false));
            return { start, end: start + 10_000 };
        },
    },
];

for (const { name, options, begin = () => noOutage } of scenarios) {
    test(`a part of prompts that crashes targets, ${name}: three more at most, and harmless ones go on`, async () => {
        for (const seed of seeds) {
            const site = new CrashingSite({ ...usual, ...options, seed });
            const outage = begin(site);
            await site.run(45_000);
            assert.deepEqual(checkDeadlyParts(site, outage), [], `seed ${seed}`);
        }
    });
}

for (const hasCommonPart of [false, true]) {
    const shared = hasCommonPart ? "share a part" : "have their subjects";
    test(`targets crash by themselves, again and again, and prompts ${shared}: none is refused for good`, async () => {
        for (const seed of seeds) {
            const options = { culprits: 0, crashesPerMinute: 40, subjects: 60, hasCommonPart };
            const site = new CrashingSite({ ...options, seed });
            await site.run(40_000);
            assert.deepEqual(checkDeadlyParts(site), [], `seed ${seed}`);
        }
    });
}
