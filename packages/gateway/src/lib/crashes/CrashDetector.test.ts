import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Target } from "../directory/Target.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs, testTarget } from "../testing/fixtures.js";
import { CrashDetector, type InterruptedRun } from "./CrashDetector.js";

function createDetector(listed: Target | undefined, isRefused = true) {
    const crashes: InterruptedRun[] = [];
    let checks = 0;
    const detector = new CrashDetector({
        directory: { get: () => listed },
        refusesConnections: () => {
            checks++;
            return Promise.resolve(isRefused);
        },
        observation: { logs: silentLogs(), metrics: new GatewayMetrics(new MetricRegistry(new ManualClock())) },
        onCrash: runs => void crashes.push(...runs),
    });
    return { detector, crashes, checks: () => checks };
}

const target = testTarget("t1", "small");
const run: InterruptedRun = { request: "r", digest: "d", causes: ["d"], target, after: 80, replyAge: undefined };
const settled = () => new Promise(resolve => setImmediate(resolve));

test("all runs that a crash interrupts are reported after a single check", async () => {
    const { detector, crashes, checks } = createDetector(target);
    ["a", "b", "c"].forEach(digest => detector.handleInterruptedRun({ ...run, digest }));
    await settled();
    assert.deepEqual(crashes.map(({ digest }) => digest), ["a", "b", "c"]);
    assert.equal(checks(), 1);
});

test("a target that interrupted a run but accepts connections has not crashed", async () => {
    const { detector, crashes } = createDetector(target, false);
    detector.handleInterruptedRun(run);
    await settled();
    assert.deepEqual(crashes, []);
});

test("a target that is draining or no longer listed does not count as crashed", async () => {
    for (const listed of [undefined, { ...target, state: "draining" as const }]) {
        const { detector, crashes } = createDetector(listed);
        detector.handleInterruptedRun(run);
        await settled();
        assert.deepEqual(crashes, []);
    }
});
