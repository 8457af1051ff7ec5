import assert from "node:assert/strict";
import { test } from "node:test";
import { resumedPriority } from "./resumedPriority.js";

test("streams with shorter prompts resume first, and all of them before new requests", () => {
    const priorities = [0, 399, 400, 1_199, 100_000].map(tokens => resumedPriority(tokens, () => true));
    assert.deepEqual(priorities, [1, 1, 2, 3, 4]);
});

test("without ordering by prompt length all resumed streams have the same priority", () => {
    assert.deepEqual([0, 5_000].map(tokens => resumedPriority(tokens, () => false)), [1, 1]);
});
