import assert from "node:assert/strict";
import { test } from "node:test";
import { findEntryPart } from "./findEntryPart.js";

test("entries that list each other in any order get different shares", () => {
    const parts = [
        findEntryPart("entry-1", ["entry-10", "entry-2", "entry-1"]),
        findEntryPart("entry-2", ["entry-1", "entry-2", "entry-10"]),
        findEntryPart("entry-10", ["entry-2", "entry-1"]),
    ];
    assert.deepEqual(parts.map(({ index }) => index).sort(), [0, 1, 2]);
    assert.equal(parts.every(({ count }) => count === 3), true);
    assert.deepEqual(findEntryPart("entry-1", []), { index: 0, count: 1 });
});
