import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationLag } from "./ConfigurationLag.js";

function isTooLong(behindFor: number | undefined, configurationTime: number | undefined): boolean {
    return new ConfigurationLag({ behindFor: () => behindFor, configurationTime }).isTooLong;
}

test("a process that knows of a newer version uses its own until the newer one must be in force", () => {
    assert.equal(isTooLong(0, 3_000), false);
    assert.equal(isTooLong(2_000, 3_000), false);
    assert.equal(isTooLong(3_000, 3_000), true);
    assert.equal(isTooLong(2_000, 2_000), true);
});

test("a process that knows of no newer version, or has no bound, uses its own", () => {
    assert.equal(isTooLong(undefined, 3_000), false);
    assert.equal(isTooLong(60_000, undefined), false);
});
