import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type EngineReport } from "../chains/EngineControl.js";
import { type LayerRange } from "../directory/Target.js";
import { testTarget } from "../testing/fixtures.js";
import { type ListedTarget, TargetOrderState } from "./TargetOrderState.js";

const first: LayerRange = { first: 0, end: 10 };
const second: LayerRange = { first: 10, end: 20 };

function listed(layers: LayerRange | undefined, changedAt: number): ListedTarget {
    return { target: testTarget("t1", "small", layers), changedAt };
}

function report(layers: LayerRange | undefined, isBusy: boolean): EngineReport {
    return { isBusy, orders: 1, layers, cacheUse: 0, waiting: 0, slowdown: 1, stalledBy: [] };
}

test("an order is pending until the directory shows its layers", async () => {
    const clock = new ManualClock();
    const orderState = new TargetOrderState(clock);
    await clock.advanceAsync(1_000);
    orderState.recordOrder(second);
    assert.equal(orderState.isPending(listed(first, 500)), true);
    assert.deepEqual(orderState.expected(listed(first, 500)), second);
    assert.equal(orderState.isPending(listed(undefined, 1_100)), true);
    assert.equal(orderState.isPending(listed(second, 2_400)), false);
    assert.deepEqual(orderState.expected(listed(second, 2_400)), second);
});

test("an order is pending until a report shows its layers", async () => {
    const clock = new ManualClock();
    const orderState = new TargetOrderState(clock);
    await clock.advanceAsync(1_000);
    orderState.recordOrder(second);
    await clock.advanceAsync(500);
    orderState.recordReport(report(second, true));
    assert.equal(orderState.isPending(listed(first, 500)), true);
    await clock.advanceAsync(500);
    orderState.recordReport(report(second, false));
    assert.equal(orderState.isPending(listed(first, 500)), false);
    assert.equal(orderState.acceptedOrders, 1);
});

test("a directory entry newer than a busy report completes the order", async () => {
    const clock = new ManualClock();
    const orderState = new TargetOrderState(clock);
    await clock.advanceAsync(1_000);
    orderState.recordOrder(second);
    await clock.advanceAsync(500);
    orderState.recordReport(report(undefined, true));
    assert.equal(orderState.isPending(listed(second, 1_600)), false);
});

test("an old directory entry with the ordered layers does not complete the order", async () => {
    const clock = new ManualClock();
    const orderState = new TargetOrderState(clock);
    await clock.advanceAsync(1_000);
    orderState.recordOrder(first);
    assert.equal(orderState.isPending(listed(first, 500)), true);
});

test("an order without effect is no longer pending after its timeout", async () => {
    const clock = new ManualClock();
    const orderState = new TargetOrderState(clock);
    orderState.recordOrder(second);
    await clock.advanceAsync(3_999);
    assert.equal(orderState.isPending(listed(first, 0)), true);
    await clock.advanceAsync(1);
    assert.equal(orderState.isPending(listed(first, 0)), false);
    assert.deepEqual(orderState.expected(listed(first, 0)), first);
});
