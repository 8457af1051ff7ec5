import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type EngineReport } from "../chains/EngineControl.js";
import { type LayerRange } from "../directory/Target.js";
import { testTarget } from "../testing/fixtures.js";
import { type ListedTarget, TargetWork } from "./TargetWork.js";

const first: LayerRange = { first: 0, end: 10 };
const second: LayerRange = { first: 10, end: 20 };

function listed(layers: LayerRange | undefined, changedAt: number): ListedTarget {
    return { target: testTarget("t1", "small", layers), changedAt };
}

function report(layers: LayerRange | undefined, isBusy: boolean): EngineReport {
    return { isBusy, orders: 1, layers, cacheUse: 0, waiting: 0, slowdown: 1, stalledBy: [] };
}

test("an order is pending until the list shows its layers", async () => {
    const clock = new ManualClock();
    const work = new TargetWork(clock);
    await clock.advanceAsync(1_000);
    work.recordOrder(second);
    assert.equal(work.isPending(listed(first, 500)), true);
    assert.deepEqual(work.expected(listed(first, 500)), second);
    assert.equal(work.isPending(listed(undefined, 1_100)), true);
    assert.equal(work.isPending(listed(second, 2_400)), false);
    assert.deepEqual(work.expected(listed(second, 2_400)), second);
});

test("an order is pending until a report shows its layers", async () => {
    const clock = new ManualClock();
    const work = new TargetWork(clock);
    await clock.advanceAsync(1_000);
    work.recordOrder(second);
    await clock.advanceAsync(500);
    work.recordReport(report(second, true));
    assert.equal(work.isPending(listed(first, 500)), true);
    await clock.advanceAsync(500);
    work.recordReport(report(second, false));
    assert.equal(work.isPending(listed(first, 500)), false);
    assert.equal(work.acceptedOrders, 1);
});

test("a list newer than a busy report ends the order", async () => {
    const clock = new ManualClock();
    const work = new TargetWork(clock);
    await clock.advanceAsync(1_000);
    work.recordOrder(second);
    await clock.advanceAsync(500);
    work.recordReport(report(undefined, true));
    assert.equal(work.isPending(listed(second, 1_600)), false);
});

test("an old entry with the ordered layers does not end the order", async () => {
    const clock = new ManualClock();
    const work = new TargetWork(clock);
    await clock.advanceAsync(1_000);
    work.recordOrder(first);
    assert.equal(work.isPending(listed(first, 500)), true);
});

test("an order without effect is given up after its time", async () => {
    const clock = new ManualClock();
    const work = new TargetWork(clock);
    work.recordOrder(second);
    await clock.advanceAsync(3_999);
    assert.equal(work.isPending(listed(first, 0)), true);
    await clock.advanceAsync(1);
    assert.equal(work.isPending(listed(first, 0)), false);
    assert.deepEqual(work.expected(listed(first, 0)), first);
});
