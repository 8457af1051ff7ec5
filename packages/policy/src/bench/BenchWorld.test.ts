import assert from "node:assert/strict";
import { test } from "node:test";
import { type BenchCase, benchCases } from "./BenchCase.js";
import { baselinePolicies, ownPolicy } from "./BenchPolicy.js";
import { measureLimitError } from "./limitError.js";
import { type CaseResult, runCase } from "./runBench.js";

const pipelines = 12;
const seed = 3;

function caseOf(name: string): BenchCase {
    return benchCases.find(benchCase => benchCase.name === name)!;
}

function runOwn(name: string, more: Partial<BenchCase> = {}): CaseResult {
    return runCase({ ...caseOf(name), ...more }, ownPolicy(), seed, pipelines);
}

test("goodput recovers within 5 s after a burst, without a retry storm", () => {
    const result = runOwn("burst 3x");
    assert.ok(result.recoveryAfterEnd !== undefined && result.recoveryAfterEnd <= 5, `${result.recoveryAfterEnd} s`);
    assert.ok(result.attempts < 3 * result.offered * 75, `${result.attempts} attempts`);
});

test("goodput recovers within 5 s after lost replicas return", () => {
    const result = runOwn("third lost");
    assert.ok(result.recoveryAfterEnd !== undefined && result.recoveryAfterEnd <= 5, `${result.recoveryAfterEnd} s`);
});

test("other organisations keep their goodput while one sends 20 times its share", () => {
    const alone = runOwn("organisation 20x", { greedy: 1 });
    const crowded = runOwn("organisation 20x");
    const kept = crowded.otherOrganisations / alone.otherOrganisations;
    assert.ok(kept >= 0.95, `others keep ${kept}`);
});

test("goodput with a slow replica is higher than under every baseline", () => {
    const own = runOwn("slow replica").goodput;
    for (const policy of baselinePolicies) {
        const { goodput } = runCase(caseOf("slow replica"), policy, seed, pipelines);
        assert.ok(own > goodput, `${own} against ${goodput} of ${policy.name}`);
    }
});

test("the same seed gives the same figures", () => {
    assert.deepEqual(runOwn("steady"), runOwn("steady"));
});

test("an organisation's rate limit holds over all targets together", () => {
    const over = measureLimitError(40, 5, 2, seed).admitted;
    const under = measureLimitError(40, 5, 0.9, seed).admitted;
    assert.ok(over >= 0.98 && over <= 1.05, `${over} of the limit at twice its rate`);
    assert.ok(under >= 0.98, `${under} of what is sent below the limit`);
});
