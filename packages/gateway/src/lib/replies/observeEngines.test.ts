import assert from "node:assert/strict";
import { test } from "node:test";
import { type Target } from "../directory/Target.js";
import { healthyReport, testTarget } from "../testing/fixtures.js";
import { observeEngines } from "./observeEngines.js";

const target: Target = { ...testTarget("t1", "large"), startedAt: 1 };
const order = { layers: { first: 0, end: 1 }, fence: 1, expectedOrders: 0 };

function observe(isLeaving: boolean, startedAt?: number) {
    const leaving: Target[] = [];
    const engines = observeEngines({
        fetchReport: () => Promise.resolve({ ...healthyReport, startedAt, isLeaving }),
        place: () => Promise.resolve({ kind: "begun", isLeaving }),
    }, one => leaving.push(one));
    return { leaving, engines };
}

test("a target that says in a report or a reply to an order that it leaves is passed on", async () => {
    const { leaving, engines } = observe(true);
    await engines.fetchReport(target, 1);
    await engines.place(target, order, 1);
    assert.deepEqual(leaving, [target, target]);
});

test("the report of a later incarnation speaks for that one", async () => {
    const { leaving, engines } = observe(true, 2);
    await engines.fetchReport(target, 1);
    assert.deepEqual(leaving, [{ ...target, startedAt: 2 }]);
});

test("a target that does not say so is not leaving", async () => {
    const { leaving, engines } = observe(false);
    assert.equal((await engines.place(target, order, 1)).kind, "begun");
    assert.deepEqual(leaving, []);
});
