import assert from "node:assert/strict";
import { test } from "node:test";
import { z } from "zod";
import { type LoadSettings } from "./LoadSettings.js";
import { planCalls } from "./planCalls.js";

const settings: LoadSettings = {
    rate: 200,
    duration: 100,
    seed: 5,
    model: "demo",
    promptTokens: 20,
    maxTokens: 8,
    sharedPrefix: 0.5,
    callers: [{ name: "ports", token: "one" }, { name: "yards", token: "two" }],
    serviceShare: 0.25,
    service: "records/work-orders",
};

const bodySchema = z.object({ prompt: z.string() });

function share(part: number, whole: number): number {
    return part / whole;
}

function near(value: number, wanted: number, by: number): void {
    assert.ok(Math.abs(value - wanted) <= by, `${value} instead of ${wanted}`);
}

test("arrivals are those of a Poisson process", () => {
    const calls = planCalls(settings);
    const gaps = calls.map(({ at }, index) => at - (calls[index - 1]?.at ?? 0));
    assert.ok(gaps.every(gap => gap >= 0));
    near(calls.length, 20_000, 500);
    // Of exponentially distributed gaps, a fraction of e^-1 exceeds one mean, and e^-3 exceeds three means.
    near(share(gaps.filter(gap => gap > 5).length, gaps.length), Math.exp(-1), 0.02);
    near(share(gaps.filter(gap => gap > 15).length, gaps.length), Math.exp(-3), 0.01);
});

test("the same seed gives the same plan, another one does not", () => {
    assert.deepEqual(planCalls(settings), planCalls(settings));
    assert.notDeepEqual(planCalls({ ...settings, seed: 6 })[0], planCalls(settings)[0]);
});

test("the first arrival follows a Poisson process for small seeds, too", () => {
    const seeds = Array.from({ length: 400 }, (_, seed) => seed);
    const firsts = seeds.map(seed => planCalls({ ...settings, duration: 1, seed })[0]?.at ?? Infinity);
    near(share(firsts.filter(first => first > 5).length, firsts.length), Math.exp(-1), 0.08);
});

test("calls have the configured shares of services, organisations and common prefixes", () => {
    const calls = planCalls(settings);
    near(share(calls.filter(({ kind }) => kind === "service").length, calls.length), 0.25, 0.02);
    near(share(calls.filter(({ caller }) => caller.name === "yards").length, calls.length), 0.5, 0.02);
    const prompts = calls.flatMap(({ body }) => body === undefined ? [] : [bodySchema.parse(JSON.parse(body)).prompt]);
    assert.ok(prompts.every(prompt => prompt.split(" ").length === 20));
    assert.equal(new Set(prompts.map(prompt => prompt.split(" ").slice(0, 10).join(" "))).size, 1);
    assert.ok(new Set(prompts.map(prompt => prompt.split(" ").slice(0, 11).join(" "))).size > 1);
});

test("a plan with too many calls is refused", () => {
    assert.throws(() => planCalls({ ...settings, rate: 1e6 }), RangeError);
});
