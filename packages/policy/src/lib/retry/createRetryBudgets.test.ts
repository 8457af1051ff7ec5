import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRetryBudgets } from "./createRetryBudgets.js";

test("an organisation whose requests fail uses up only its own budget", () => {
    const budgets = createRetryBudgets({ clock: new ManualClock(), random: seededRandom(1), capacity: 3 });
    for (let i = 0; i < 100; i++) {
        const budget = budgets.of("greedy");
        budget.request();
        budget.ended(false);
        budget.spend("failed");
    }
    assert.equal(budgets.of("greedy").spend("refused"), false);
    assert.deepEqual([1, 2, 3, 4].map(() => budgets.of("ports").spend("failed")), [true, true, true, false]);
});

test("the least recently used budget is evicted", () => {
    const options = { clock: new ManualClock(), random: seededRandom(1), capacity: 1, maxOrganisations: 2 };
    const budgets = createRetryBudgets(options);
    budgets.of("ports").spend();
    budgets.of("depots").spend();
    budgets.of("ports");
    budgets.of("yards");
    assert.equal(budgets.of("ports").spend(), false);
    assert.equal(budgets.of("depots").spend(), true);
});
