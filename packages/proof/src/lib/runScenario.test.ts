import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { formatDetails } from "./report/formatResult.js";
import { holds, type OutcomeCount, type ScenarioResult } from "./report/ScenarioResult.js";
import { runScenario } from "./runScenario.js";
import { type Scenario } from "./scenarios/Scenario.js";
import { findScenario } from "./scenarios/scenarios.js";
import { smallSite } from "./site/layout.js";

const options = { timeout: 240_000 };

async function run(t: TestContext, scenario: Scenario, plantsViolations = false): Promise<ScenarioResult> {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-test-"));
    t.after(() => rm(folder, { recursive: true }));
    const result = await runScenario({
        scenario,
        seed: 1,
        seconds: 3,
        folder,
        layout: smallSite,
        modelRate: 4,
        serviceRate: 6,
        plantsViolations,
    });
    t.diagnostic(formatDetails(result));
    return result;
}

function sum(result: ScenarioResult, pick: (count: OutcomeCount) => number): number {
    return Object.values(result.outcomes).reduce((all, count) => all + pick(count), 0);
}

test("processes that leave gracefully interrupt nothing, and planted violations are detected", options, async t => {
    const leave: Scenario = {
        name: "leave",
        row: "host leaves while the live list lags",
        summary: "SIGTERM of an agent of each kind and of an entry",
        async run({ site, markFault }) {
            markFault();
            await Promise.all(["stage-1-1", "stage-2-2", "records-1", "entry-2"].map(name => site.terminate(name)));
        },
    };
    const result = await run(t, leave, true);
    assert.ok(holds(result), formatDetails(result));
    assert.ok(sum(result, ({ completed }) => completed) > 0);
    assert.ok(result.history.rules.stops.passed >= 4);
    assert.ok(result.history.rules.leaving.passed >= 3);
    assert.ok(result.history.rules.layers.passed > 0);
    assert.ok(result.history.rules["at-most-once"].passed > 0);
});

// Callers repeat requests under the same idempotency keys at both entries, concurrently and seconds later.
// A claim that a restored copy of the store lacks must not let such a request run a second time.
test("no request runs twice when the store is restored from copies that lack its claim", options, async t => {
    const scenario = findScenario("store-copy");
    assert.ok(scenario);
    const result = await run(t, scenario);
    assert.ok(holds(result), formatDetails(result));
    assert.ok(result.history.rules["at-most-once"].passed > 0);
});

test("the history holds when a stage, an agent with claims and an entry are killed", options, async t => {
    const kill: Scenario = {
        name: "kill",
        row: "two of these at once",
        summary:
            "SIGKILL of a stage with its engine, of an agent beside the plain service, which restarts, and of an entry",
        async run({ site, markFault }) {
            markFault();
            await Promise.all([site.killHost("stage-2-1"), site.kill("records-1"), site.kill("entry-1")]);
            await site.startDaemon("records-1");
        },
    };
    const result = await run(t, kill);
    assert.ok(holds(result), formatDetails(result));
    assert.ok(sum(result, ({ completed }) => completed) > 0);
    assert.ok(result.history.rules.delivery.passed > 0);
    assert.equal(result.history.incarnations, result.history.rules.recording.passed + 3, "three wrote no final line");
});
