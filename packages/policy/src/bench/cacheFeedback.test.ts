import assert from "node:assert/strict";
import { test } from "node:test";
import { cacheCases, cacheFeedbacks, runCacheFeedback } from "./cacheFeedback.js";

const none = cacheFeedbacks.find(({ answers, reports }) => !answers && !reports)!;
const both = cacheFeedbacks.find(({ answers, reports }) => answers && reports)!;

test("feedback raises the hit share when caches are cleared, for the same arrivals", () => {
    const cleared = cacheCases.find(({ clearEvery }) => clearEvery > 0)!;
    const [before, after] = [none, both].map(feedback => runCacheFeedback(cleared, feedback, 1)) as [Result, Result];
    assert.equal(before.requests, after.requests);
    assert.ok(after.hitShare > before.hitShare, `${after.hitShare} against ${before.hitShare}`);
});

test("feedback lowers the time to first token when caches are too small", () => {
    const small = cacheCases.reduce((least, next) => next.capacity < least.capacity ? next : least);
    const [before, after] = [none, both].map(feedback => runCacheFeedback(small, feedback, 1)) as [Result, Result];
    assert.ok(after.firstTokenP95 < 0.9 * before.firstTokenP95, `${after.firstTokenP95} ms`);
});

type Result = ReturnType<typeof runCacheFeedback>;
