import { createLogger } from "@waxwingspar/telemetry";
import { seededRandom, SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { type DemoCheck, type DemoOptions, runDemo } from "./runDemo.js";

async function demoChecks(t: TestContext, options: Partial<DemoOptions>): Promise<readonly DemoCheck[]> {
    const historyFolder = await mkdtemp(join(tmpdir(), "waxwingspar-test-"));
    t.after(() => rm(historyFolder, { recursive: true }));
    const result = await runDemo({
        clock: new SystemClock(),
        random: seededRandom(7),
        logger: createLogger({ process: "demo", level: "silent" }),
        historyFolder,
        write: () => undefined,
        ...options,
    });
    assert.ok(result.isOk, result.isErr ? result.error.message : "");
    return result.value.checks;
}

test("a stream goes on when a stage dies in mid-stream, and the history holds", async t => {
    const checks = await demoChecks(t, { maxTokens: 40, killAfter: 10 });
    assert.deepEqual(checks.filter(check => !check.holds), []);
});

test("without a spare target the demo fails", async t => {
    const checks = await demoChecks(t, { maxTokens: 40, killAfter: 10, replicas: 1, companions: 0 });
    const failed = checks.filter(check => !check.holds).map(check => check.name);
    assert.ok(failed.includes("every answer is complete and correct"), failed.join());
    const history = checks.find(check => check.name === "the history holds");
    assert.ok(history?.holds, `the history violates a rule: ${history?.detail}`);
});
