import assert from "node:assert/strict";
import { test } from "node:test";
import { loadShare } from "./loadShare.js";

test("the share of a gateway's requests follows all heads, and is 0 without any", () => {
    assert.equal(loadShare({ a: 3, b: 1 }, { a: 2, c: 2 }), 0.5);
    assert.equal(loadShare({ a: 3 }, {}), 1);
    assert.equal(loadShare({}, {}), 0);
});
