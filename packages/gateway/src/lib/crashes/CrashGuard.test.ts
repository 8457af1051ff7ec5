import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs, testTarget } from "../testing/fixtures.js";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { CrashCounts } from "./CrashCounts.js";
import { type InterruptedRun } from "./CrashDetector.js";
import { CrashGuard, type CrashRefusal } from "./CrashGuard.js";
import { CrashRecords } from "./CrashRecords.js";

const run: InterruptedRun = {
    request: "attempt",
    digest: "a",
    causes: ["a"],
    target: testTarget("t1", "small"),
    after: 80,
    replyAge: undefined,
};

function createGuard() {
    const clock = new ManualClock(1_000_000);
    const store = new SimulatedStore(clock);
    const counts = new CrashCounts(clock);
    const logs = silentLogs();
    const records = new CrashRecords({ clock, store, logger: logs.requests });
    const guard = new CrashGuard({
        clock,
        counts,
        records,
        observation: { logs, metrics: new GatewayMetrics(new MetricRegistry(clock)) },
    });
    const crash = (times: number, cut: Partial<InterruptedRun> = {}) => {
        for (let time = 0; time < times; time++) {
            guard.recordCrash([{ ...run, ...cut }]);
        }
    };
    const request = async (digest = "a", canSend = () => true): Promise<CrashRefusal | undefined> => {
        const result = guard.requestRetrial(digest, canSend);
        await clock.advanceAsync(100);
        return result;
    };
    return { clock, store, counts, records, guard, crash, request };
}

test("a request is suspect from its third crash on", () => {
    const { guard, crash } = createGuard();
    crash(2);
    assert.equal(guard.getStatus("a"), "free");
    crash(1);
    assert.equal(guard.getStatus("a"), "suspect");
    assert.equal(guard.getStatus("b"), "free");
});

test("crashes at other gateways count as well", () => {
    const { counts, guard, crash } = createGuard();
    counts.recordPeerCounts({ a: 2 });
    crash(1);
    assert.equal(guard.getStatus("a"), "suspect");
});

test("a request whose reply had started long enough ago did not cause the crash", () => {
    const { guard, crash } = createGuard();
    crash(5, { replyAge: 300 });
    assert.equal(guard.getStatus("a"), "free");
});

test("a suspect is condemned after two more runs that crash their targets", async () => {
    const { guard, crash, request } = createGuard();
    crash(3);
    for (const retrial of [1, 2]) {
        assert.equal(await request(), undefined, `run ${retrial}`);
        crash(1);
        guard.endTurn();
    }
    assert.match((await request())?.reason ?? "", /every target/);
    assert.equal(guard.getStatus("a"), "condemned");
});

test("one successful run excuses a suspect, which becomes suspect again after as many crashes as before", async () => {
    const { clock, guard, crash, request } = createGuard();
    crash(3);
    await request();
    guard.recordSuccess("a");
    guard.endTurn();
    await clock.advanceAsync(100);
    assert.equal(guard.getStatus("a"), "free");
    crash(2);
    assert.equal(guard.getStatus("a"), "free");
    crash(4);
    assert.equal(guard.getStatus("a"), "suspect");
});

test("suspects run one after the other", async () => {
    const { clock, guard, crash, request } = createGuard();
    crash(3);
    crash(3, { digest: "b" });
    assert.equal(await request("a"), undefined);
    const waiting = guard.requestRetrial("b", () => true);
    let isAnswered = false;
    void waiting.then(() => isAnswered = true);
    await clock.advanceAsync(1_000);
    assert.equal(isAnswered, false);
    guard.endTurn();
    await clock.advanceAsync(100);
    assert.equal(await waiting, undefined);
});

test("a suspect that gets no turn in time is refused with a time to retry", async () => {
    const { clock, guard, crash, request } = createGuard();
    crash(3);
    await request("a");
    const waiting = guard.requestRetrial("b", () => true);
    await clock.advanceAsync(1_600);
    assert.equal((await waiting)?.retryAfter, 500);
    guard.endTurn();
    assert.equal(await request("a"), undefined);
});

test("a run that could not start is not used up", async () => {
    const { guard, crash, request } = createGuard();
    crash(3);
    for (let time = 0; time < 5; time++) {
        assert.match((await request("a", () => false))?.reason ?? "", /no other target is available/);
    }
    assert.equal(await request(), undefined);
    guard.endTurn();
    assert.equal(await request(), undefined);
});

test("while the store is unavailable, suspects do not run, but other requests do", async () => {
    const { clock, store, guard, crash } = createGuard();
    crash(3);
    store.setDown(true);
    const held = guard.requestRetrial("a", () => true);
    await clock.advanceAsync(3_000);
    assert.equal((await held)?.retryAfter, 1_000);
    assert.equal(guard.getStatus("b"), "free");
});

test("crashes recorded by other gateways are read after a ready target was removed", async () => {
    const { clock, store, counts, guard } = createGuard();
    store.put("a", { crashes: 3, retrials: 0, writtenAt: clock.now() });
    guard.handleTargetChange({ kind: "removed", target: run.target });
    await clock.advanceAsync(50);
    assert.equal(guard.getStatus("a"), "free");
    counts.recordPeerCounts({ other: 1 });
    guard.handleTargetChange({ kind: "removed", target: { ...run.target, state: "draining" } });
    await clock.advanceAsync(50);
    assert.equal(guard.getStatus("a"), "free");
    guard.handleTargetChange({ kind: "removed", target: run.target });
    await clock.advanceAsync(50);
    assert.equal(guard.getStatus("a"), "suspect");
});

test("of a crash that interrupted many runs, only those of requests interrupted before are recorded", async () => {
    const { clock, records, guard } = createGuard();
    const interruptedRuns = ["a", "b", "c", "d", "e", "f", "g"].map(digest => ({ ...run, digest }));
    guard.recordCrash(interruptedRuns);
    await clock.advanceAsync(50);
    assert.equal(records.get("a"), undefined);
    guard.recordCrash(interruptedRuns.slice(0, 1));
    guard.recordCrash(interruptedRuns);
    await clock.advanceAsync(50);
    assert.equal(records.get("a")?.crashes, 2);
    assert.equal(records.get("b")?.crashes, 1);
});

test("a request that used up its runs stays refused after its crashes are forgotten", async () => {
    const { clock, store, records, guard } = createGuard();
    store.put("a", { crashes: 0, retrials: 2, writtenAt: clock.now() });
    records.start();
    await clock.advanceAsync(50);
    assert.equal(guard.getStatus("a"), "condemned");
});
