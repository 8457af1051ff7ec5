import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { runSoak } from "./runSoak.js";

async function soak(context: TestContext, seed: number): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-soak-"));
    const result = await runSoak({ seed, gateways: 4, seconds: 20, folder });
    context.diagnostic(
        `${result.calls} requests, ${result.served} served, ${result.events.length} disturbances, ${result.acrossStops} across stops`,
    );
    assert.deepEqual(result.violations, [], `${result.events.join("\n")}\nlogs: ${folder}`);
    assert.ok(result.served > 0);
    await rm(folder, { recursive: true });
}

test("gateways under overlapping faults keep what callers and targets rely on", { timeout: 180_000 }, async context => {
    await soak(context, 1);
});

test("the same holds while targets ask for rest, leave and name limits", { timeout: 180_000 }, async context => {
    await soak(context, 3);
});
