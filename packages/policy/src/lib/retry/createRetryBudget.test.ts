import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRetryBudget } from "./createRetryBudget.js";

function drain(budget: ReturnType<typeof createRetryBudget>): number {
    let spent = 0;
    while (budget.spend()) {
        spent++;
    }
    return spent;
}

test("budget closes while every attempt fails", () => {
    const budget = createRetryBudget({ clock: new ManualClock(), random: seededRandom(1) });
    drain(budget);
    for (let i = 0; i < 1000; i++) {
        budget.request();
        budget.ended(false);
    }
    assert.equal(budget.spend(), false);
});

test("the budget shrinks faster than the success rate", () => {
    const funded = (successOf: (i: number) => boolean) => {
        const budget = createRetryBudget({ clock: new ManualClock(), random: seededRandom(1), capacity: 1000 });
        drain(budget);
        for (let i = 0; i < 1000; i++) {
            budget.request();
            budget.ended(successOf(i));
        }
        return drain(budget);
    };
    const healthy = funded(() => true);
    const half = funded(i => i % 2 === 0);
    assert.ok(healthy >= 99 && healthy <= 100, `healthy ${healthy}`);
    assert.ok(half < healthy / 3, `half ${half}`);
});

test("the budget recovers once attempts succeed again", () => {
    const budget = createRetryBudget({ clock: new ManualClock(), random: seededRandom(1) });
    drain(budget);
    for (let i = 0; i < 500; i++) {
        budget.request();
        budget.ended(false);
    }
    for (let i = 0; i < 800; i++) {
        budget.request();
        budget.ended(true);
    }
    assert.equal(drain(budget), 20);
});

test("successful retries do not fund further retries", () => {
    const budget = createRetryBudget({ clock: new ManualClock(), random: seededRandom(1) });
    drain(budget);
    budget.request();
    for (let i = 0; i < 1000; i++) {
        budget.ended(true);
    }
    assert.equal(budget.spend(), false);
});

test("the retry of a refused request costs less than that of a failed one", () => {
    const budget = createRetryBudget({ clock: new ManualClock(), random: seededRandom(1), capacity: 2 });
    let refused = 0;
    while (budget.spend("refused")) {
        refused++;
    }
    assert.equal(refused, 8);
    assert.equal(budget.spend(), false);
});

test("back-off delays are spread over the whole range and capped", () => {
    const budget = createRetryBudget({ clock: new ManualClock(), random: seededRandom(7) });
    const waits = Array.from({ length: 1000 }, () => budget.backoff(3));
    assert.ok(Math.max(...waits) <= 100 && Math.max(...waits) > 90);
    assert.ok(Math.min(...waits) < 10);
    assert.ok(budget.backoff(60) <= 2000);
});
