import { MetricRegistry } from "@waxwingspar/telemetry";
import { StallingClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { LoopDelay } from "../observation/LoopDelay.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { healthyReport, silentLogs, testTarget } from "../testing/fixtures.js";
import { type EngineReport } from "./EngineControl.js";
import { TargetInspector } from "./TargetInspector.js";
import { TargetPaces } from "./TargetPaces.js";
import { TargetSuspicions } from "./TargetSuspicions.js";

const ids = ["t1", "t2", "t3", "t4", "t5"];

/** Creates an inspector of targets that answer after `delay` milliseconds, or never if their ids are in `silent`. */
function createInspector(silent: readonly string[], delay = 10) {
    const clock = new StallingClock(1);
    const loop = new LoopDelay(clock);
    const directory = new TargetDirectory({ clock });
    ids.forEach(id => directory.put(testTarget(id, "small")));
    const suspicions = new TargetSuspicions(clock);
    const paces = new TargetPaces(clock);
    const reports = new Map<string, EngineReport>(ids.map(id => [id, healthyReport]));
    const inspector = new TargetInspector({
        clock,
        directory,
        suspicions,
        paces,
        engines: {
            fetchReport: ({ port }, timeout) => {
                const id = `t${port - 1_000}`;
                const isSilent = silent.includes(id);
                return new Promise(resolve => {
                    clock.schedule(() => resolve(isSilent ? undefined : reports.get(id)), isSilent ? timeout : delay);
                });
            },
            place: () => Promise.resolve({ kind: "begun" }),
        },
        loop,
        observation: {
            logs: silentLogs(),
            metrics: new GatewayMetrics(new MetricRegistry(clock)),
        },
    });
    return { clock, loop, suspicions, reports, inspector };
}

test("a target that is silent while the others answer is avoided immediately", async () => {
    const { clock, suspicions, inspector } = createInspector(["t2"]);
    let found: string[] | undefined;
    void inspector.survey(ids).then(silent => found = silent);
    await clock.advanceAsync(60);
    assert.deepEqual(found, ["t2"]);
    assert.equal(suspicions.has("t2"), true);
    assert.equal(suspicions.isLost("t2"), false);
    await clock.advanceAsync(260);
    assert.equal(suspicions.isLost("t2"), true);
});

test("when no target answers, none is avoided before the report timeout", async () => {
    const { clock, suspicions, inspector } = createInspector(ids);
    void inspector.survey(ids);
    await clock.advanceAsync(250);
    assert.deepEqual(suspicions.list(), []);
    await clock.advanceAsync(100);
    assert.deepEqual(suspicions.listLost(), ids);
});

test("no target is avoided when all of them answer late", async () => {
    const { clock, suspicions, inspector } = createInspector([], 200);
    let found: string[] | undefined;
    void inspector.survey(ids).then(silent => found = silent);
    await clock.advanceAsync(250);
    assert.deepEqual(found, []);
    assert.deepEqual(suspicions.list(), []);
});

test("a target that refuses a request is avoided until it has answered", async () => {
    const { clock, suspicions, inspector } = createInspector([], 100);
    inspector.inspectRefusing("t1");
    assert.equal(suspicions.has("t1"), true);
    await clock.advanceAsync(110);
    assert.equal(suspicions.has("t1"), true);
    await clock.advanceAsync(300);
    assert.equal(suspicions.has("t1"), false);
});

test("a target that repeatedly refuses requests although it has room is avoided for longer each time", async () => {
    const { clock, suspicions, inspector } = createInspector([], 10);
    const durations: number[] = [];
    for (let round = 0; round < 3; round++) {
        inspector.inspectRefusing("t1");
        await clock.advanceAsync(10);
        const begin = clock.now();
        while (suspicions.has("t1")) {
            await clock.advanceAsync(10);
        }
        durations.push(clock.now() - begin);
    }
    assert.deepEqual(durations, [300, 600, 1_200]);
});

test("a target that repeatedly stalls others is avoided for longer each time", async () => {
    const { clock, suspicions, reports, inspector } = createInspector([], 10);
    reports.set("t1", { ...healthyReport, stalledBy: ["127.0.0.1:1002"] });
    void inspector.survey(["t1"]);
    await clock.advanceAsync(2_100);
    assert.equal(suspicions.has("t2"), false);
    void inspector.survey(["t1"]);
    await clock.advanceAsync(3_900);
    assert.equal(suspicions.isLost("t2"), true);
});

/**
 * Guards against healthy targets being avoided after the event loop was blocked, for instance by parsing a large
 * configuration on a slow host. Timers run before pending input is read, so reports that arrived in time counted as
 * missing.
 */
test("a report that arrived while the event loop was blocked is not late", async () => {
    const { clock, suspicions, inspector } = createInspector(["t4", "t5"], 10);
    let found: string[] | undefined;
    void inspector.survey(ids).then(silent => found = silent);
    await clock.advanceAsync(12);
    clock.stall(14);
    await clock.advanceAsync(16);
    assert.equal(found, undefined);
    assert.deepEqual(suspicions.list(), []);
    await clock.advanceAsync(20);
    assert.deepEqual(found, ["t4", "t5"]);
});

test("a report that is missing after this process stood still says nothing", async () => {
    const { clock, loop, suspicions, inspector } = createInspector(ids);
    void inspector.survey(ids);
    await clock.advanceAsync(50);
    const due = clock.now();
    clock.stall(150);
    loop.record(due);
    await clock.advanceAsync(300);
    assert.deepEqual(suspicions.list(), []);
});
