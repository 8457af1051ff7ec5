import assert from "node:assert/strict";
import { test } from "node:test";
import { type DeadlyPartsPlay, playDeadlyParts } from "../testing/playDeadlyParts.js";

const plays: readonly DeadlyPartsPlay[] = [
    { name: "25 requests a second", options: { deadlyRate: 25 } },
    { name: "a request every 1.5 seconds", options: { deadlyRate: 0.67 } },
    { name: "since the start of the load", options: { deadlyFrom: 0 } },
    { name: "always with the same subject", options: { hasFixedSubject: true } },
    { name: "all prompts share a part", options: { hasCommonPart: true, deadlyFrom: 0 } },
    { name: "two such parts", options: { deadlyParts: 2, hasCommonPart: true } },
];

for (const { name, ...play } of plays) {
    test(`a part of prompts that crashes targets, ${name}: three more at most, and harmless ones go on`, async () => {
        assert.deepEqual(await playDeadlyParts(play), []);
    });
}
