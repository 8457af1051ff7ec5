import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LoopDelay } from "./LoopDelay.js";

test("loop delay: recent is the longest delay of the last second", () => {
    const clock = new ManualClock(1_000);
    const loop = new LoopDelay(clock);
    assert.equal(loop.recent, 0);
    assert.equal(loop.record(960), 40);
    clock.advance(500);
    assert.equal(loop.record(1_495), 5);
    assert.equal(loop.recent, 40);
    clock.advance(600);
    assert.equal(loop.recent, 5);
    clock.advance(600);
    assert.equal(loop.recent, 0);
});

test("loop delay: a timer that fires early has no delay", () => {
    const clock = new ManualClock(1_000);
    const loop = new LoopDelay(clock);
    assert.equal(loop.record(1_002), 0);
    assert.equal(loop.recent, 0);
});

test("loop delay: only the blocked time after the given moment counts", () => {
    const clock = new ManualClock(1_000);
    const loop = new LoopDelay(clock);
    loop.record(900);
    clock.advance(100);
    loop.record(1_070);
    assert.equal(loop.blockedTimeSince(900), 130);
    assert.equal(loop.blockedTimeSince(1_000), 30);
    assert.equal(loop.blockedTimeSince(1_080), 20);
    assert.equal(loop.blockedTimeSince(1_100), 0);
});
