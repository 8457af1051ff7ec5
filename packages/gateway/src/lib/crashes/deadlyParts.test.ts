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
