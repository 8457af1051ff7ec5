import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { runSoak } from "./runSoak.js";

test("gateways under overlapping faults keep what callers and targets rely on", { timeout: 180_000 }, async t => {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-soak-"));
    const result = await runSoak({ seed: 1, gateways: 4, seconds: 20, folder });
    t.diagnostic(`${result.calls} requests, ${result.served} served, ${result.events.length} disturbances`);
    assert.deepEqual(result.violations, [], `${result.events.join("\n")}\nlogs: ${folder}`);
    assert.ok(result.served > 0);
    await rm(folder, { recursive: true });
});
