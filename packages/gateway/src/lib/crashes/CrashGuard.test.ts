import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs, testTarget } from "../testing/fixtures.js";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { CrashCounts } from "./CrashCounts.js";
import { CrashGuard, type HoldBack } from "./CrashGuard.js";
import { CrashRecords } from "./CrashRecords.js";
import { type CutRun } from "./CrashWatch.js";

const run: CutRun = {
    request: "attempt",
    digest: "a",
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
    const crash = (times: number, cut: Partial<CutRun> = {}) => {
        for (let time = 0; time < times; time++) {
            guard.noteCrash([{ ...run, ...cut }]);
        }
    };
    const request = async (digest = "a", canSend = () => true): Promise<HoldBack | undefined> => {
        const result = guard.requestRetrial(digest, canSend);
        await clock.advanceAsync(100);
        return result;
    };
    return { clock, store, counts, records, guard, crash, request };
}

test("a request is suspect from its third crash on", () => {
    const { guard, crash } = createGuard();
    crash(2);
    assert.equal(guard.standing("a"), "free");
    crash(1);
    assert.equal(guard.standing("a"), "suspect");
    assert.equal(guard.standing("b"), "free");
});

test("crashes at other gateways count as well", () => {
    const { counts, guard, crash } = createGuard();
    counts.hear({ a: 2 });
    crash(1);
    assert.equal(guard.standing("a"), "suspect");
});

test("a request whose reply was well under way has not crashed its target", () => {
    const { guard, crash } = createGuard();
    crash(5, { replyAge: 300 });
    assert.equal(guard.standing("a"), "free");
});

test("two runs that crash their targets as well condemn it", async () => {
    const { guard, crash, request } = createGuard();
    crash(3);
    for (const retrial of [1, 2]) {
        assert.equal(await request(), undefined, `run ${retrial}`);
        crash(1);
        guard.endTurn();
    }
    assert.match((await request())?.reason ?? "", /every target/);
    assert.equal(guard.standing("a"), "condemned");
});

test("one run that goes well excuses it, and as many crashes as at first make it suspect again", async () => {
    const { clock, guard, crash, request } = createGuard();
    crash(3);
    await request();
    guard.noteWell("a");
    guard.endTurn();
    await clock.advanceAsync(100);
    assert.equal(guard.standing("a"), "free");
    crash(2);
    assert.equal(guard.standing("a"), "free");
    crash(4);
    assert.equal(guard.standing("a"), "suspect");
});

test("suspects run one after the other", async () => {
    const { clock, guard, crash, request } = createGuard();
    crash(3);
    crash(3, { digest: "b" });
    assert.equal(await request("a"), undefined);
    const waiting = guard.requestRetrial("b", () => true);
    let isHeard = false;
    void waiting.then(() => isHeard = true);
    await clock.advanceAsync(1_000);
    assert.equal(isHeard, false);
    guard.endTurn();
    await clock.advanceAsync(100);
    assert.equal(await waiting, undefined);
});

test("a suspect that has no turn in time is told to come back", async () => {
    const { clock, guard, crash, request } = createGuard();
    crash(3);
    await request("a");
    const waiting = guard.requestRetrial("b", () => true);
    await clock.advanceAsync(1_600);
    assert.equal((await waiting)?.retryAfter, 500);
    guard.endTurn();
    assert.equal(await request("a"), undefined);
});

test("a run that could not begin is not used up", async () => {
    const { guard, crash, request } = createGuard();
    crash(3);
    for (let time = 0; time < 5; time++) {
        assert.match((await request("a", () => false))?.reason ?? "", /none is left/);
    }
    assert.equal(await request(), undefined);
    guard.endTurn();
    assert.equal(await request(), undefined);
});

test("while the store is away a suspect does not run, and others do", async () => {
    const { clock, store, guard, crash } = createGuard();
    crash(3);
    store.setDown(true);
    const held = guard.requestRetrial("a", () => true);
    await clock.advanceAsync(3_000);
    assert.equal((await held)?.retryAfter, 1_000);
    assert.equal(guard.standing("b"), "free");
});

test("crashes that other gateways wrote down are known after a target is gone", async () => {
    const { clock, store, counts, guard } = createGuard();
    store.put("a", { crashes: 3, retrials: 0, writtenAt: clock.now() });
    guard.noteTarget({ kind: "removed", target: run.target });
    await clock.advanceAsync(50);
    assert.equal(guard.standing("a"), "free");
    counts.hear({ other: 1 });
    guard.noteTarget({ kind: "removed", target: { ...run.target, state: "draining" } });
    await clock.advanceAsync(50);
    assert.equal(guard.standing("a"), "free");
    guard.noteTarget({ kind: "removed", target: run.target });
    await clock.advanceAsync(50);
    assert.equal(guard.standing("a"), "suspect");
});

test("of a crash that cut many young runs off, only those are written down that were cut before", async () => {
    const { clock, records, guard } = createGuard();
    const crowd = ["a", "b", "c", "d", "e", "f", "g"].map(digest => ({ ...run, digest }));
    guard.noteCrash(crowd);
    await clock.advanceAsync(50);
    assert.equal(records.get("a"), undefined);
    guard.noteCrash(crowd.slice(0, 1));
    guard.noteCrash(crowd);
    await clock.advanceAsync(50);
    assert.equal(records.get("a")?.crashes, 2);
    assert.equal(records.get("b")?.crashes, 1);
});

test("a request that used its runs up stays refused where its crashes were forgotten", async () => {
    const { clock, store, records, guard } = createGuard();
    store.put("a", { crashes: 0, retrials: 2, writtenAt: clock.now() });
    records.start();
    await clock.advanceAsync(50);
    assert.equal(guard.standing("a"), "condemned");
});
