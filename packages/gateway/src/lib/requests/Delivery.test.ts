import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Delivery } from "./Delivery.js";

test("pauses are measured between the flushing of chunks, not between their writing", () => {
    const clock = new ManualClock();
    const waits: number[] = [];
    const delivery = new Delivery({ clock, onFlushed: wait => waits.push(wait) });
    const [first, second, third] = [delivery.begin(), delivery.begin(), delivery.begin()];
    clock.advance(10);
    first();
    clock.advance(30);
    second();
    clock.advance(500);
    third();
    assert.equal(delivery.firstFlushedAt, 10);
    assert.equal(delivery.longestPause, 500);
    assert.equal(delivery.longestWait, 540);
    assert.deepEqual(waits, [10, 40, 540]);
});

test("an answer without flushed chunks has no time of the first one", () => {
    const delivery = new Delivery({ clock: new ManualClock() });
    delivery.begin();
    assert.equal(delivery.firstFlushedAt, undefined);
    assert.equal(delivery.longestPause, 0);
});
