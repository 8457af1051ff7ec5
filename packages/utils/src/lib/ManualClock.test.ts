import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "./ManualClock.js";
import { seededRandom } from "./Random.js";

test("timers run in order of due time, then of scheduling", () => {
    const clock = new ManualClock();
    const ran: string[] = [];
    clock.schedule(() => ran.push("late"), 20);
    clock.schedule(() => ran.push("first"), 10);
    clock.schedule(() => ran.push("second"), 10);
    clock.advance(20);
    assert.deepEqual(ran, ["first", "second", "late"]);
});

test("a timer scheduled by a timer runs within the same advance", () => {
    const clock = new ManualClock();
    let at = 0;
    clock.schedule(() => {
        clock.schedule(() => at = clock.now(), 5);
    }, 10);
    clock.advance(100);
    assert.equal(at, 15);
});

test("a cancelled timer never runs", () => {
    const clock = new ManualClock();
    let ran = false;
    clock.schedule(() => ran = true, 1).cancel();
    clock.advance(10);
    assert.equal(ran, false);
});

test("the same seed gives the same numbers within range", () => {
    const [a, b] = [seededRandom(7), seededRandom(7)];
    for (let i = 0; i < 1000; i++) {
        const value = a.next();
        assert.equal(value, b.next());
        assert.ok(value >= 0 && value < 1);
        assert.equal(a.below(10), b.below(10));
    }
});
