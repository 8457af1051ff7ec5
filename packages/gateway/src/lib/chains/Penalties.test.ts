import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Penalties, type Penalty } from "./Penalties.js";

const penalty: Penalty = { reason: "refuses", duration: 300, maxDuration: 1_000 };

test("a penalty doubles up to a bound when its reason recurs soon", () => {
    const clock = new ManualClock();
    const penalties = new Penalties(clock);
    const durations = [1, 2, 3, 4].map(() => {
        const duration = penalties.add("t1", penalty);
        clock.advance(duration + 100);
        return duration;
    });
    assert.deepEqual(durations, [300, 600, 1_000, 1_000]);
});

test("a penalty during another one for the same reason does not double", () => {
    const clock = new ManualClock();
    const penalties = new Penalties(clock);
    penalties.add("t1", penalty);
    clock.advance(100);
    assert.equal(penalties.add("t1", penalty), 300);
});

test("a penalty starts at its first duration for another target, another reason or after a long time", () => {
    const clock = new ManualClock();
    const penalties = new Penalties(clock);
    penalties.add("t1", penalty);
    clock.advance(400);
    assert.equal(penalties.add("t2", penalty), 300);
    assert.equal(penalties.add("t1", { ...penalty, reason: "stalls" }), 300);
    clock.advance(10_000);
    assert.equal(penalties.add("t1", penalty), 300);
});
