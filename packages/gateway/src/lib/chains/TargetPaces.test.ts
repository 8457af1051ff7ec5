import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetPaces } from "./TargetPaces.js";

test("a slow target stays slow until a report says otherwise, or reports stop", () => {
    const clock = new ManualClock();
    const paces = new TargetPaces(clock);
    paces.observe("a", 4);
    paces.observe("b", 4);
    assert.equal(paces.slowdown("a"), 4);
    paces.observe("a", 1);
    assert.equal(paces.slowdown("a"), 1);
    clock.advance(8_000);
    assert.equal(paces.slowdown("b"), 1);
});

test("small differences of pace are no slowness", () => {
    const paces = new TargetPaces(new ManualClock());
    paces.observe("a", 1.4);
    assert.equal(paces.slowdown("a"), 1);
});

test("a peer's word counts for a second and is not passed on", () => {
    const clock = new ManualClock();
    const paces = new TargetPaces(clock);
    paces.hear({ a: 6 });
    assert.equal(paces.slowdown("a"), 6);
    assert.deepEqual(paces.listOwn(), {});
    clock.advance(1_000);
    assert.equal(paces.slowdown("a"), 1);
});

test("the fingerprint changes with a slow target and again when it is well", () => {
    const paces = new TargetPaces(new ManualClock());
    const before = paces.fingerprint;
    paces.observe("a", 4);
    const slow = paces.fingerprint;
    paces.observe("a", 4.1);
    assert.notEqual(slow, before);
    assert.equal(paces.fingerprint, slow);
    paces.observe("a", 1);
    assert.equal(paces.fingerprint, before);
});
