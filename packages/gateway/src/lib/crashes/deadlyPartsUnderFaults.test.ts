import assert from "node:assert/strict";
import { test } from "node:test";
import { checkDeadlyParts, noOutage } from "../testing/checkDeadlyParts.js";
import { CrashingSite } from "../testing/CrashingSite.js";
import { type DeadlyPartsPlay, playDeadlyParts } from "../testing/playDeadlyParts.js";

const plays: readonly DeadlyPartsPlay[] = [
    { name: "answers without a length that a crash ends in order", options: { endsQuietly: true } },
    { name: "targets answer some requests with an error", options: { failedShare: 0.3 } },
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

for (const { name, ...play } of plays) {
    test(`a part of prompts that crashes targets, ${name}: three more at most, and harmless ones go on`, async () => {
        assert.deepEqual(await playDeadlyParts(play), []);
    });
}

for (const hasCommonPart of [false, true]) {
    const shared = hasCommonPart ? "share a part" : "have their subjects";
    test(`targets crash by themselves, again and again, and prompts ${shared}: none is refused for good`, async () => {
        for (const seed of [1, 2, 3]) {
            const options = { culprits: 0, crashesPerMinute: 40, subjects: 60, hasCommonPart };
            const site = new CrashingSite({ ...options, seed });
            await site.run(40_000);
            assert.deepEqual(checkDeadlyParts(site), [], `seed ${seed}`);
        }
    });
}
