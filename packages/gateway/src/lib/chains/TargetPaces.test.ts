import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetPaces } from "./TargetPaces.js";

test("a target counts as slow until a report shows otherwise or the last report expires", () => {
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

test("a slowdown below the threshold is ignored", () => {
    const paces = new TargetPaces(new ManualClock());
    paces.observe("a", 1.4);
    assert.equal(paces.slowdown("a"), 1);
});

test("a peer's report is valid for a second and is not forwarded", () => {
    const clock = new ManualClock();
    const paces = new TargetPaces(clock);
    paces.recordPeerReports({ a: 6 });
    assert.equal(paces.slowdown("a"), 6);
    assert.deepEqual(paces.listObserved(), {});
    clock.advance(1_000);
    assert.equal(paces.slowdown("a"), 1);
});

test("the fingerprint changes when a target becomes slow and when it recovers", () => {
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
