import assert from "node:assert/strict";
import { test } from "node:test";
import { entryPartOf } from "./entryPartOf.js";

test("entries that see each other in any order have different parts", () => {
    const parts = [
        entryPartOf("entry-1", ["entry-10", "entry-2", "entry-1"]),
        entryPartOf("entry-2", ["entry-1", "entry-2", "entry-10"]),
        entryPartOf("entry-10", ["entry-2", "entry-1"]),
    ];
    assert.deepEqual(parts.map(({ index }) => index).sort(), [0, 1, 2]);
    assert.equal(parts.every(({ count }) => count === 3), true);
    assert.deepEqual(entryPartOf("entry-1", []), { index: 0, count: 1 });
});
