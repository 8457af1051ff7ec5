import assert from "node:assert/strict";
import { test } from "node:test";
import { LatestResult } from "./LatestResult.js";

/** Guards against plans that are made from targets or settings that have changed since. */
test("a result is kept until one of its inputs changes", () => {
    const latest = new LatestResult<number>();
    let count = 0;
    const get = (...inputs: readonly unknown[]) => latest.get(inputs, () => ++count);
    const settings = {};
    assert.deepEqual([get(settings, "a"), get(settings, "a"), get(settings, "b")], [1, 1, 2]);
    assert.deepEqual([get({}, "b"), get(settings, "b"), get(settings, "b")], [3, 4, 4]);
});
