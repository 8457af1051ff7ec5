import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type DrainResult } from "./Agent.js";
import { chainOf, openMessage } from "./testing/TestEntry.js";
import { TestRun } from "./testing/TestRun.js";
import { testLayers, TestSite } from "./testing/TestSite.js";

const names = ["a", "b", "c", "d"];

function choose(excluded: ReadonlySet<string>): ReturnType<typeof chainOf> | undefined {
    const free = names.filter(name => !excluded.has(name));
    return free.length < 3 ? undefined : chainOf(free.slice(0, 3), testLayers);
}

function startRuns(site: TestSite, count: number, maxTokens = 20): TestRun[] {
    const sampling = { maxTokens, stop: [], seed: 7 };
    return Array.from(
        { length: count },
        (_, index) => new TestRun({ entry: site.entry, request: `r${index}`, choose, changes: { sampling } }),
    );
}

/** Makes a target leave; the returned object receives the result. */
function leave(site: TestSite, target: string): { result: DrainResult | undefined; } {
    const leaving: { result: DrainResult | undefined; } = { result: undefined };
    void site.targets.get(target)?.agent.leave().then(result => {
        leaving.result = result;
    });
    return leaving;
}

test("leaving under load interrupts nothing and takes nothing new", async () => {
    for (const target of ["a", "b", "c"]) {
        const site = new TestSite(1);
        await site.startAll(names);
        const runs = startRuns(site, 6);
        await site.until(() => runs.every(run => run.ids.length > 2));
        const leaving = leave(site, target);
        await site.clock.advanceAsync(2, 1);
        const announced = site.entry.received.some(message =>
            message.type === "load" && message.load.leaving && message.load.target === target
        );
        assert.ok(announced || target !== "a", "every linked entry is notified immediately");
        const late = new TestRun({ entry: site.entry, request: "late", choose });
        await site.until(() => leaving.result !== undefined && late.outcome !== undefined);
        assert.deepEqual(leaving.result, { interrupted: 0 });
        assert.ok(
            runs.every(run => run.outcome === "completed" && run.epoch === 0),
            "running requests complete on their first chain",
        );
        assert.equal(late.outcome, "completed");
        assert.equal(late.epoch, 1, "the first chain refused");
        assert.equal(site.entry.answer("late", 0).failed?.failure.code, requestCodes.stopping.number);
        assert.deepEqual(site.violations(), []);
    }
});

test("long requests are handed over", async () => {
    for (const target of ["a", "b", "c"]) {
        const site = new TestSite(1);
        await site.startAll(names, { agent: { settings: { handOverAfter: 300 } } });
        const runs = startRuns(site, 3, 200);
        await site.until(() => runs.every(run => run.ids.length > 2));
        const leaving = leave(site, target);
        await site.until(() => leaving.result !== undefined);
        assert.deepEqual(leaving.result, { interrupted: 0 });
        await site.until(() => runs.every(run => run.outcome !== undefined));
        assert.ok(runs.every(run => run.outcome === "completed" && run.epoch === 1));
        assert.deepEqual(site.violations(), []);
    }
});

test("what waits in the queue is refused as not run", async () => {
    const site = new TestSite(1);
    await site.start("a", { slots: 1 });
    const stages = chainOf(["a"], testLayers);
    const first = await site.entry.open(openMessage({ request: "r1", stages }));
    const second = await site.entry.open(openMessage({ request: "r2", stages, firstTokenBound: 60_000 }));
    await site.until(() => first.ids.length > 2);
    const leaving = leave(site, "a");
    await site.until(() => leaving.result !== undefined);
    assert.equal(second.failed?.failure.code, requestCodes.stopping.number);
    assert.ok(first.done !== undefined);
    assert.deepEqual(leaving.result, { interrupted: 0 });
});

test("slow caller whose answer is still held is handed over", async () => {
    const site = new TestSite(1);
    await site.startAll(["a", "b", "c"], { agent: { settings: { handOverAfter: 300 } } });
    const stages = chainOf(["a", "b", "c"], testLayers);
    const answer = await site.entry.open(openMessage({ request: "r1", stages, credit: 2 }));
    await site.until(() => answer.ids.length === 2);
    const leaving = leave(site, "a");
    await site.until(() => leaving.result !== undefined);
    assert.deepEqual(leaving.result, { interrupted: 0 });
    assert.equal(answer.failed?.exportable, true);
});

test("hard limit cuts off and says how many", async () => {
    const site = new TestSite(1);
    await site.startAll(["a"], { agent: { settings: { handOverAfter: 60_000, drainLimit: 500 } } });
    const stages = chainOf(["a"], testLayers);
    const answer = await site.entry.open(openMessage({ request: "r1", stages, credit: 2 }));
    await site.until(() => answer.ids.length === 2);
    const leaving = leave(site, "a");
    await site.until(() => leaving.result !== undefined);
    assert.deepEqual(leaving.result, { interrupted: 1 });
    await site.clock.advanceAsync(5, 1);
    assert.equal(answer.failed?.failure.code, requestCodes.stageLost.number, "the caller receives the failure");
});

test("requests in flight when an idle target leaves are refused", async () => {
    const site = new TestSite(100);
    await site.start("a");
    const stages = chainOf(["a"], testLayers);
    const link = await site.entry.link("a");
    const leaving = leave(site, "a");
    link.send(openMessage({ request: "r1", stages }));
    await site.clock.advanceAsync(250, 10);
    assert.equal(leaving.result, undefined, "the agent stays for a while");
    assert.equal(site.entry.answer("r1", 0).failed?.failure.code, requestCodes.stopping.number);
    await site.clock.advanceAsync(1000, 10);
    assert.deepEqual(leaving.result, { interrupted: 0 });
    link.send(openMessage({ request: "r2", stages }));
    await site.clock.advanceAsync(250, 10);
    const after = site.entry.answer("r2", 0).failed;
    assert.equal(after?.failure.code, requestCodes.stopping.number, "also after it has closed");
    assert.equal(after?.load?.leaving, true);
});
