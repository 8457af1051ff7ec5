import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { playStarvation } from "./playStarvation.js";

const all = { running: 65, standing: 0 };
const some = { running: 20, standing: 45 };
const little = { running: 5, standing: 60 };

async function playRecovery(context: TestContext, rate: number): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-starvation-"));
    const { seconds, ...counts } = await playStarvation({
        seed: 1,
        rate,
        patience: 300,
        maxAttempts: 9,
        phases: [{ seconds: 3, part: all }, { seconds: 5, part: little }, { seconds: 10, part: some }],
        folder,
    });
    const shares = seconds.map(({ calls, servedFirst }) => servedFirst / calls);
    context.diagnostic(`${JSON.stringify(counts)} ${shares.map(share => share.toFixed(2)).join(" ")}`);
    const last = seconds.slice(-6, -1);
    const sum = (count: (second: typeof last[0]) => number) => last.reduce((total, second) => total + count(second), 0);
    assert.ok(sum(({ servedFirst }) => servedFirst) >= 0.95 * sum(({ calls }) => calls), "0.95 of first attempts");
    assert.ok(counts.sentTooLate <= 3, "at most three sent on after half a second");
    await rm(folder, { recursive: true });
}

test("a gateway that was short of processor time serves its callers again", { timeout: 120_000 }, async context => {
    await playRecovery(context, 60);
});

test("the same holds with fewer callers, on a machine with other work", { timeout: 120_000 }, async context => {
    await playRecovery(context, 40);
});
