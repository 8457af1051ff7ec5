import assert from "node:assert/strict";
import { test } from "node:test";
import { AttemptLimits } from "./AttemptLimits.js";

function createLimits(allowance: number, maxAttempts = 2) {
    const budget = {
        left: allowance,
        mayRetry: () => budget.left > 0,
        take: () => budget.left > 0 && budget.left-- > 0,
        giveBack: () => void budget.left++,
    };
    return { budget, limits: new AttemptLimits({ budget, maxAttempts }) };
}

test("the first send does not use the retry budget", () => {
    const { budget, limits } = createLimits(1);
    assert.equal(limits.begin("t1", "waiting"), true);
    assert.equal(budget.left, 1);
});

test("a send after one that never arrived does not use the retry budget", () => {
    const { budget, limits } = createLimits(1);
    limits.begin("t1", "waiting");
    limits.end("t1", "neverSent");
    assert.equal(limits.begin("t1", "waiting"), true);
    assert.equal(budget.left, 1);
    assert.equal(limits.hasAttemptLeft, true);
});

test("a retry that never arrived is returned to the budget", () => {
    const { budget, limits } = createLimits(1);
    limits.begin("t1", "waiting");
    limits.end("t1", "unknown");
    assert.equal(limits.begin("t1", "waiting"), true);
    assert.equal(budget.left, 0);
    limits.end("t1", "neverSent");
    assert.equal(budget.left, 1);
    assert.equal(limits.mayHaveRun, true);
});

test("a refusal as not executed counts as an attempt, and the next send as a retry", () => {
    const { budget, limits } = createLimits(5);
    limits.begin("t1", "waiting");
    limits.end("t1", "neverExecuted");
    assert.equal(limits.hasAttemptLeft, true);
    limits.begin("t2", "waiting");
    assert.equal(budget.left, 4);
    assert.equal(limits.hasAttemptLeft, false);
    assert.equal(limits.mayHaveRun, false);
});

test("attempts are limited by the route", () => {
    const { limits } = createLimits(5, 3);
    let sends = 0;
    while (limits.hasAttemptLeft && limits.begin(`t${sends}`, "waiting")) {
        sends++;
        limits.end(`t${sends - 1}`, "unknown");
    }
    assert.equal(sends, 3);
});

test("an empty budget allows no retry", () => {
    const { limits } = createLimits(0);
    limits.begin("t1", "waiting");
    limits.end("t1", "neverExecuted");
    assert.equal(limits.begin("t1", "waiting"), false);
});

test("a retry beside a send in flight is allowed only while the budget lasts", () => {
    const [withoutBudget, withBudget] = [createLimits(0), createLimits(1)];
    withoutBudget.limits.begin("t1", "waiting");
    withBudget.limits.begin("t1", "waiting");
    assert.equal(withoutBudget.limits.mayBegin("running"), false);
    assert.equal(withBudget.limits.mayBegin("running"), true);
});

test("with all attempts used, only targets that the request reached before may get it again", () => {
    const { budget, limits } = createLimits(5);
    limits.begin("t1", "running");
    limits.end("t1", "unknown");
    limits.begin("t2", "running");
    limits.end("t2", "neverExecuted");
    assert.equal(limits.maySendTo("t3"), false);
    assert.equal(limits.maySendTo("t2"), true);
    limits.begin("t2", "running");
    assert.equal(budget.left, 3);
    limits.end("t2", "neverSent");
    assert.equal(budget.left, 4);
    assert.equal(limits.maySendTo("t2"), true);
});
