import { MetricRegistry } from "@waxwingspar/telemetry";
import { StallingClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { healthyReport, noRests, silentLogs, testEngine, testTarget } from "../testing/fixtures.js";
import { ChainService, type ChainServiceOptions } from "./ChainService.js";
import { type EngineReport } from "./EngineControl.js";
import { TargetPaces } from "./TargetPaces.js";
import { TargetSuspicions } from "./TargetSuspicions.js";

interface ServiceOptions extends Pick<ChainServiceOptions, "isOn"> {
    readonly accelerator?: string;
}

function createService({ accelerator = "small", ...options }: ServiceOptions = {}) {
    const clock = new StallingClock();
    const logs = silentLogs();
    const directory = new TargetDirectory({ clock });
    directory.put(testTarget("t1", accelerator, { first: 0, end: 40 }));
    directory.put(testTarget("t2", accelerator, { first: 40, end: 80 }));
    const suspicions = new TargetSuspicions(clock);
    const paces = new TargetPaces(clock);
    const reports = new Map<number, EngineReport>([[1_001, healthyReport], [1_002, healthyReport]]);
    const service = new ChainService({
        clock,
        service: "model",
        dataCentre: "x",
        engine: testEngine,
        directory,
        suspicions,
        paces,
        rests: noRests,
        peerLoad: () => 0,
        engines: {
            fetchReport: ({ port }) => Promise.resolve(reports.get(port)),
            place: () => Promise.resolve({ kind: "begun" }),
        },
        observation: { logs, metrics: new GatewayMetrics(new MetricRegistry(clock)) },
        ...options,
    });
    const load = service.choose(new Set());
    assert.ok(load !== undefined);
    return { clock, directory, suspicions, reports, service, load };
}

test("a target that refuses a request although it has room is avoided, but does not count as lost", async () => {
    const { clock, suspicions, service, load } = createService();
    service.refused(load, 503, "127.0.0.1:1002");
    await clock.advanceAsync(10);
    assert.equal(suspicions.has("t2"), true);
    assert.equal(suspicions.isLost("t2"), false);
    await clock.advanceAsync(2_000);
    assert.equal(suspicions.has("t2"), false);
});

// Without "several-chains", a full target is still avoided.
test("a full target is avoided only briefly", async () => {
    const { clock, suspicions, reports, service, load } = createService({
        isOn: mechanism => mechanism !== "several-chains",
    });
    reports.set(1_002, { ...healthyReport, cacheUse: 0.95 });
    service.refused(load, 503, "127.0.0.1:1002");
    await clock.advanceAsync(10);
    assert.equal(suspicions.has("t2"), true);
    await clock.advanceAsync(200);
    assert.equal(suspicions.has("t2"), false);
});

/** Guards against chains that are rebuilt over slower targets, and back, whenever one of their targets is full. */
test("a full target is not avoided, and its chain stays and keeps most of its room", async () => {
    const { clock, suspicions, reports, service, load } = createService({ accelerator: "large" });
    reports.set(1_002, { ...healthyReport, waiting: 3 });
    const users = Array.from({ length: Math.floor(load.chain.room) }, () => ({ leaveChain: () => undefined }));
    users.forEach(user => service.begin(load, user));
    const { revision } = suspicions;
    for (let refusal = 0; refusal < 100; refusal++) {
        service.refused(load, 503, "127.0.0.1:1002");
        await clock.advanceAsync(10);
        assert.equal(service.choose(new Set()), load);
    }
    assert.equal(suspicions.revision, revision);
    assert.equal(service.chooseWithRoom(new Set()), undefined);
    users.slice(Math.floor(users.length * 0.45)).forEach(user => service.end(load, user, false));
    assert.equal(service.chooseWithRoom(new Set()), load);
});

test("a draining target is avoided although its chain is loaded", async () => {
    const { clock, suspicions, service, load } = createService({ accelerator: "large" });
    load.inFlight = Math.floor(load.chain.room);
    service.refused(load, 503, "127.0.0.1:1002");
    assert.equal(suspicions.has("t2"), false);
    await clock.advanceAsync(10);
    assert.equal(suspicions.has("t2"), true);
});

test("a full target that says that it is leaving is avoided", async () => {
    const { clock, suspicions, reports, service, load } = createService();
    reports.set(1_002, { ...healthyReport, waiting: 3, isLeaving: true });
    service.refused(load, 503, "127.0.0.1:1002");
    await clock.advanceAsync(10);
    assert.equal(suspicions.has("t2"), true);
});

test("a target that gives no report counts as lost until it gives one", async () => {
    const { clock, suspicions, reports, service, load } = createService();
    reports.delete(1_002);
    service.refused(load, 503, "127.0.0.1:1002");
    await clock.advanceAsync(6_000);
    assert.equal(suspicions.isLost("t2"), true);
    reports.set(1_002, healthyReport);
    await clock.advanceAsync(4_000);
    assert.equal(suspicions.has("t2"), false);
});

test("a target that stalls others counts as lost", async () => {
    const { clock, suspicions, reports, service, load } = createService();
    reports.set(1_001, { ...healthyReport, stalledBy: ["127.0.0.1:1002"] });
    service.streamFailed(load, false);
    await clock.advanceAsync(10);
    assert.equal(suspicions.isLost("t2"), true);
});

/**
 * Starts two streams on a chain and records an event. @returns The reasons for which they leave the chain, in order.
 */
function beginStreams({ service, load }: Pick<ReturnType<typeof createService>, "service" | "load">): string[] {
    const left: string[] = [];
    ["a", "b"].forEach(() => {
        service.begin(load, { leaveChain: (_load, reason) => void left.push(reason) });
        service.firstEvent(load);
    });
    service.event(load);
    return left;
}

test("streams stay on a silent chain whose targets all answer until it counts as stalled", async () => {
    const { clock, service, load } = createService();
    const left = beginStreams({ service, load });
    await clock.advanceAsync(590);
    assert.deepEqual(left, []);
    await clock.advanceAsync(60);
    assert.deepEqual(left, ["chain stalled", "chain stalled"]);
});

test("streams leave a chain as soon as one of its targets reports that another one stalls it", async () => {
    const { clock, reports, service, load } = createService();
    const left = beginStreams({ service, load });
    reports.set(1_001, { ...healthyReport, stalledBy: ["127.0.0.1:1002"] });
    await clock.advanceAsync(100);
    assert.deepEqual(left, ["127.0.0.1:1002 stalls others", "127.0.0.1:1002 stalls others"]);
});

test("a chain of fast streams is surveyed after a shorter silence", async () => {
    const { clock, reports, service, load } = createService();
    const left = beginStreams({ service, load });
    service.event(load, 25);
    reports.delete(1_002);
    await clock.advanceAsync(60);
    assert.deepEqual(left, ["127.0.0.1:1002 is silent", "127.0.0.1:1002 is silent"]);
});

test("silence is ignored after this process itself was paused", async () => {
    const { clock, service, load } = createService();
    const left = beginStreams({ service, load });
    await clock.advanceAsync(40);
    clock.stall(1_000);
    await clock.advanceAsync(80);
    assert.deepEqual(left, []);
});

test("streams leave a silent target before the chain counts as stalled", async () => {
    const { clock, directory, reports, service, load } = createService();
    directory.put(testTarget("t3", "small", { first: 40, end: 80 }));
    reports.set(1_003, healthyReport);
    const left = beginStreams({ service, load });
    reports.delete(1_002);
    await clock.advanceAsync(125);
    assert.deepEqual(left, ["127.0.0.1:1002 is silent", "127.0.0.1:1002 is silent"]);
});

test("streams leave a chain whose target has restarted, although it answers", async () => {
    const { clock, directory, service, load } = createService();
    const left = beginStreams({ service, load });
    directory.put({ ...testTarget("t2", "small", { first: 40, end: 80 }), startedAt: 5 });
    await clock.advanceAsync(50);
    assert.deepEqual(left, ["127.0.0.1:1002 has started again", "127.0.0.1:1002 has started again"]);
    assert.notEqual(service.choose(new Set())?.chain.key, load.chain.key);
});

test("the inspection of an earlier incarnation of a target does not affect the next one", async () => {
    const { clock, directory, suspicions, reports, service, load } = createService();
    reports.delete(1_002);
    service.refused(load, 503, "127.0.0.1:1002");
    directory.put({ ...testTarget("t2", "small", { first: 40, end: 80 }), startedAt: 5 });
    await clock.advanceAsync(10);
    assert.equal(suspicions.isLost("t2"), false);
});

test("a report of a later start removes the layers of a target before its entry is updated", async () => {
    const { clock, directory, reports, service, load } = createService();
    directory.put({ ...testTarget("t2", "small", { first: 40, end: 80 }), startedAt: 5 });
    reports.set(1_002, { ...healthyReport, startedAt: 6 });
    service.refused(load, 503, "127.0.0.1:1002");
    await clock.advanceAsync(10);
    assert.equal(directory.get("t2")?.layers, undefined);
});
