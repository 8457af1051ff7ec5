import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { incarnationOf } from "../directory/Target.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs, testTarget } from "../testing/fixtures.js";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { CrashCounts } from "./CrashCounts.js";
import { type InterruptedRun } from "./CrashDetector.js";
import { CrashGuard } from "./CrashGuard.js";
import { CrashRecords, crashTable } from "./CrashRecords.js";
import { crashSetOf } from "./CrashSet.js";
import { PartCrashes } from "./PartCrashes.js";
import { type CrashRefusal } from "./Retrial.js";
import { TrialLease } from "./TrialLease.js";

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
    const parts = new PartCrashes(clock);
    const logs = silentLogs();
    const records = new CrashRecords({ clock, store, logger: logs.requests });
    const guard = new CrashGuard({
        clock,
        counts,
        parts,
        records,
        lease: new TrialLease({ clock, store, table: crashTable }),
        observation: { logs, metrics: new GatewayMetrics(new MetricRegistry(clock)) },
    });
    const crash = (times: number, cut: Partial<InterruptedRun> = {}) => {
        for (let time = 0; time < times; time++) {
            guard.recordCrash([{ ...run, ...cut, causes: cut.causes ?? [cut.digest ?? run.digest] }]);
        }
    };
    const requestRetrial = async (causes: readonly string[], canSend = () => true) => {
        const retrial = await guard.requestRetrial(causes, canSend);
        return retrial.kind === "refused" ? retrial.refusal : undefined;
    };
    const request = async (digest = "a", canSend = () => true): Promise<CrashRefusal | undefined> => {
        const result = requestRetrial([digest], canSend);
        await clock.advanceAsync(100);
        return result;
    };
    return { clock, store, counts, records, guard, crash, request, requestRetrial };
}

test("a request is suspect from its third crash on", () => {
    const { guard, crash } = createGuard();
    crash(2);
    assert.equal(guard.getStatus(["a"]), "free");
    crash(1);
    assert.equal(guard.getStatus(["a"]), "suspect");
    assert.equal(guard.getStatus(["b"]), "free");
});

test("crashes at other gateways count as well", () => {
    const { counts, guard, crash } = createGuard();
    counts.recordPeerCounts({ a: 2 });
    crash(1);
    assert.equal(guard.getStatus(["a"]), "suspect");
});

test("a request whose reply had started long enough ago did not cause the crash", () => {
    const { guard, crash } = createGuard();
    crash(5, { replyAge: 300 });
    assert.equal(guard.getStatus(["a"]), "free");
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
    assert.equal(guard.getStatus(["a"]), "condemned");
});

test("one successful run excuses a suspect, which becomes suspect again after as many crashes as before", async () => {
    const { clock, guard, crash, request } = createGuard();
    crash(3);
    await request();
    guard.recordSuccess(["a"]);
    guard.endTurn();
    await clock.advanceAsync(100);
    assert.equal(guard.getStatus(["a"]), "free");
    crash(2);
    assert.equal(guard.getStatus(["a"]), "free");
    crash(4);
    assert.equal(guard.getStatus(["a"]), "suspect");
});

test("suspects run one after the other", async () => {
    const { clock, guard, crash, request, requestRetrial } = createGuard();
    crash(3);
    crash(3, { digest: "b" });
    assert.equal(await request("a"), undefined);
    const waiting = requestRetrial(["b"], () => true);
    let isAnswered = false;
    void waiting.then(() => isAnswered = true);
    await clock.advanceAsync(1_000);
    assert.equal(isAnswered, false);
    guard.endTurn();
    await clock.advanceAsync(100);
    assert.equal(await waiting, undefined);
});

test("a suspect that gets no turn in time is refused with a time to retry", async () => {
    const { clock, guard, crash, request, requestRetrial } = createGuard();
    crash(3);
    crash(3, { digest: "b" });
    await request("a");
    const waiting = requestRetrial(["b"], () => true);
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
    const { clock, store, guard, crash, requestRetrial } = createGuard();
    crash(3);
    store.setDown(true);
    const held = requestRetrial(["a"], () => true);
    await clock.advanceAsync(3_000);
    assert.equal((await held)?.retryAfter, 1_000);
    assert.equal(guard.getStatus(["b"]), "free");
});

test("crashes recorded by other gateways are read after a ready target was removed", async () => {
    const { clock, store, counts, guard } = createGuard();
    store.put("a", { crashes: 3, retrials: 0, writtenAt: clock.now() });
    guard.handleTargetChange({ kind: "removed", target: run.target });
    await clock.advanceAsync(50);
    assert.equal(guard.getStatus(["a"]), "free");
    counts.recordPeerCounts({ other: 1 });
    guard.handleTargetChange({ kind: "removed", target: { ...run.target, state: "draining" } });
    await clock.advanceAsync(50);
    assert.equal(guard.getStatus(["a"]), "free");
    guard.handleTargetChange({ kind: "removed", target: run.target });
    await clock.advanceAsync(50);
    assert.equal(guard.getStatus(["a"]), "suspect");
});

test("of a crash that interrupted many runs, only those of requests interrupted before are recorded", async () => {
    const { clock, records, guard } = createGuard();
    const interruptedRuns = ["a", "b", "c", "d", "e", "f", "g"].map(digest => ({ ...run, digest, causes: [digest] }));
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
    assert.equal(guard.getStatus(["a"]), "condemned");
});

/** Targets that differ in a set of crashes. */
const targets = [...new Map(
    Array.from({ length: 99 }, (_, index) => testTarget(`t${index}`, "small"))
        .map(target => [crashSetOf(incarnationOf(target)), target]),
).values()];

/** Crashes one target after the other under a run with some causes. */
function crashTargets(guard: CrashGuard, causes: readonly string[], count: number, first = 0): void {
    targets.slice(first, first + count).forEach(target => guard.recordCrash([{ ...run, target, causes }]));
}

test("a part is suspect from its third crash on, whatever the requests, and its neighbours are cleared by a run", () => {
    const { guard, clock } = createGuard();
    crashTargets(guard, ["r1", "+common", "+bad"], 1);
    crashTargets(guard, ["r2", "+common", "+bad"], 1, 1);
    clock.advance(10);
    guard.recordSuccess(["r3", "+common"]);
    crashTargets(guard, ["r4", "+bad"], 1, 2);
    assert.equal(guard.getStatus(["r5", "+bad"]), "suspect");
    assert.equal(guard.getStatus(["r5", "+common"]), "free");
});

test("a part gets three spaced runs over all requests, and none after that", async () => {
    const { clock, guard, requestRetrial } = createGuard();
    crashTargets(guard, ["r", "+bad"], 3);
    for (const [index, wait] of [0, 3_000, 300_000].entries()) {
        if (wait > 0) {
            const early = requestRetrial([`early ${index}`, "+bad"]);
            await clock.advanceAsync(1_600);
            assert.notEqual((await early)?.retryAfter, undefined);
            await clock.advanceAsync(wait);
        }
        const late = requestRetrial([`late ${index}`, "+bad"]);
        await clock.advanceAsync(100);
        assert.equal(await late, undefined, `run ${index}`);
        crashTargets(guard, [`late ${index}`, "+bad"], 1, 3 + index);
        guard.endTurn();
    }
    await clock.advanceAsync(2_000);
    assert.equal(guard.getStatus(["new", "+bad"]), "condemned");
    assert.equal(guard.describeCondemned(["new", "+bad"]).code.name, "prompt-crashes-targets");
    assert.equal(guard.getStatus(["new", "+other"]), "free");
});

test("a part that is in most prompts is not suspected for a few crashes, and is for a series without any run", async () => {
    const { clock, guard } = createGuard();
    for (let index = 0; index < 50; index++) {
        guard.recordSuccess([`r${index}`, "+common"]);
    }
    for (let index = 0; index < 5; index++) {
        await clock.advanceAsync(200);
        assert.equal(guard.getStatus(["r", "+common"]), "free");
        crashTargets(guard, ["r", "+common"], 1, index);
    }
    assert.equal(guard.getStatus(["r", "+common"]), "suspect");
});

test("a prompt with two suspect parts is held back, so that one with either of them tells which is to blame", async () => {
    const { clock, guard, requestRetrial } = createGuard();
    crashTargets(guard, ["r", "+sound", "+bad"], 3);
    assert.match((await requestRetrial(["r1", "+sound", "+bad"]))?.reason ?? "", /one by one/);
    const alone = requestRetrial(["r2", "+sound"]);
    await clock.advanceAsync(100);
    assert.equal(await alone, undefined);
    guard.recordSuccess(["r2", "+sound"]);
    guard.endTurn();
    assert.equal(guard.getStatus(["r3", "+sound"]), "free");
    assert.equal(guard.getStatus(["r3", "+sound", "+bad"]), "suspect");
});

test("parts that are always together are tried together after five seconds, at most twice", async () => {
    const { clock, guard, requestRetrial } = createGuard();
    crashTargets(guard, ["r", "+a", "+b"], 3);
    await requestRetrial(["r1", "+a", "+b"]);
    let granted = 0;
    for (let time = 0; time < 60; time++) {
        await clock.advanceAsync(1_000);
        const retrial = requestRetrial([`r${time}`, "+a", "+b"]);
        await clock.advanceAsync(1_600);
        if (await retrial === undefined) {
            granted++;
            crashTargets(guard, [`r${time}`, "+a", "+b"], 1, 3 + granted);
            guard.endTurn();
        }
    }
    assert.equal(granted, 2);
});

test("requests that wait for a turn go on when a run clears their part", async () => {
    const { clock, guard, requestRetrial } = createGuard();
    crashTargets(guard, ["r", "+p"], 3);
    const trial = requestRetrial(["r1", "+p"]);
    await clock.advanceAsync(100);
    const waiting = requestRetrial(["r2", "+p"]);
    await clock.advanceAsync(100);
    guard.recordSuccess(["r1", "+p"]);
    assert.deepEqual([await trial, await waiting], [undefined, undefined]);
});

test("a granted run that reached no target is returned", async () => {
    const { clock, records, guard, requestRetrial } = createGuard();
    crashTargets(guard, ["r", "+p"], 3);
    void requestRetrial(["r1", "+p"]);
    await clock.advanceAsync(100);
    guard.giveBack(["r1", "+p"]);
    await clock.advanceAsync(100);
    assert.equal(records.get("+p")?.retrials, 0);
});

test("a caller is told a finite time while the outcome of the last run is not known", async () => {
    const { clock, store, records, guard, requestRetrial } = createGuard();
    store.put("+p", { crashes: 3, targets: 7, retrials: 3, writtenAt: clock.now() });
    records.start();
    await clock.advanceAsync(1_500);
    assert.equal(guard.getStatus(["r", "+p"]), "suspect");
    assert.equal((await requestRetrial(["r", "+p"]))?.retryAfter, 500);
    await clock.advanceAsync(1_000);
    assert.equal(guard.getStatus(["r", "+p"]), "condemned");
});
