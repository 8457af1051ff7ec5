import assert from "node:assert/strict";
import { test } from "node:test";
import { resumedPriority } from "./resumedPriority.js";

test("streams with short prompts go on first, all of them before new requests", () => {
    const priorities = [0, 399, 400, 1_199, 100_000].map(tokens => resumedPriority(tokens, () => true));
    assert.deepEqual(priorities, [1, 1, 2, 3, 4]);
});

test("without that order all that broke off are alike", () => {
    assert.deepEqual([0, 5_000].map(tokens => resumedPriority(tokens, () => false)), [1, 1]);
});
