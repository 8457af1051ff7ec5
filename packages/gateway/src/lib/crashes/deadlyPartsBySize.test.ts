import assert from "node:assert/strict";
import { test } from "node:test";
import { type DeadlyPartsPlay, playDeadlyParts } from "../testing/playDeadlyParts.js";

const plays: readonly DeadlyPartsPlay[] = [
    { name: "one gateway", options: { dataCentres: 1, gatewaysEach: 1 } },
    { name: "6 gateways", options: {} },
    { name: "21 gateways", options: { gatewaysEach: 7 } },
    { name: "150 harmless requests a second", options: { load: 150 } },
    { name: "all callers at one of 24 gateways", options: { gatewaysEach: 8, hasCallersAtOne: true } },
];

for (const { name, ...play } of plays) {
    test(`a part of prompts that crashes targets, ${name}: three more at most, and harmless ones go on`, async () => {
        assert.deepEqual(await playDeadlyParts(play), []);
    });
}
