import { encodeClaim, shortHash } from "@waxwingspar/claims";
import { referenceAnswer } from "@waxwingspar/engine";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chainOf, type TestEntry, testPrompt } from "./testing/TestEntry.js";
import { TestRun } from "./testing/TestRun.js";
import { testLayers, TestSite } from "./testing/TestSite.js";

const identity = { model: "demo", version: "1", layers: testLayers };
const reference = referenceAnswer({ ...identity, prompt: testPrompt, maxTokens: 20, seed: 7 });
const names = ["a", "b", "c", "d", "e"];

/** A failing run prints its seed. Set AGENT_SEED to reproduce it, and AGENT_RUNS to change the number of runs. */
const seed = Number(process.env.AGENT_SEED ?? 20261202);

function numRuns(usual: number): number {
    return Number(process.env.AGENT_RUNS ?? usual);
}

/** Chooses the first three targets that have not failed. */
function chooseThree(excluded: ReadonlySet<string>): ReturnType<typeof chainOf> | undefined {
    const free = names.filter(name => !excluded.has(name));
    return free.length < 3 ? undefined : chainOf(free.slice(0, 3), testLayers);
}

async function startSite(delay: number): Promise<TestSite> {
    const site = new TestSite(delay);
    await site.startAll(names);
    return site;
}

test("a stage that dies at any moment costs no token", async () => {
    for (const victim of ["a", "b", "c"]) {
        for (let moment = 0; moment < 120; moment += 7) {
            const site = await startSite(1);
            const run = new TestRun({ entry: site.entry, request: "r1", choose: chooseThree });
            await site.clock.advanceAsync(moment, 1);
            site.kill(victim);
            await site.until(() => run.outcome !== undefined, 20_000);
            assert.equal(run.outcome, "completed", `${victim} at ${moment}`);
            assert.deepEqual(run.ids, reference.tokens, `${victim} at ${moment}`);
            assert.deepEqual(site.violations(), [], `${victim} at ${moment}`);
        }
    }
});

test("recovery takes one step of each stage once the loss is seen", async () => {
    const site = await startSite(1);
    const run = new TestRun({ entry: site.entry, request: "r1", choose: chooseThree });
    await site.until(() => run.ids.length === 8);
    site.kill("b");
    const killed = site.clock.now();
    await site.until(() => run.ids.length > 8);
    // Three steps of 5 ms and a few hops of 1 ms; the token bound is 72 ms.
    assert.ok(site.clock.now() - killed < 72, `took ${site.clock.now() - killed} ms`);
});

test("an engine that hangs is named within its timeout", async () => {
    for (const victim of ["a", "b", "c"]) {
        const site = await startSite(1);
        const run = new TestRun({ entry: site.entry, request: "r1", choose: chooseThree });
        await site.until(() => run.ids.length === 5);
        site.targets.get(victim)?.engine.hang();
        const hung = site.clock.now();
        await site.until(() => run.epoch === 1, 2000);
        assert.ok(site.clock.now() - hung < 4 * 72, `${victim} took ${site.clock.now() - hung} ms`);
        const failed = site.entry.answer("r1", 0).failed;
        assert.equal(failed?.target, victim);
        await site.until(() => run.outcome !== undefined);
        assert.deepEqual(run.ids, reference.tokens);
        assert.deepEqual(site.violations(), []);
    }
});

test("a direction that lets nothing through is found", async () => {
    const directions = [["a", "b"], ["b", "c"], ["c", "a"]] as const;
    for (const [from, to] of directions) {
        const site = await startSite(1);
        const run = new TestRun({ entry: site.entry, request: "r1", choose: chooseThree });
        await site.until(() => run.ids.length === 5);
        site.network.holdDirection(from, to);
        await site.until(() => run.outcome !== undefined, 10_000);
        assert.equal(run.outcome, "completed", `${from} to ${to}`);
        const named = site.entry.answer("r1", 0).failed?.target;
        assert.ok(named === from || named === to, `${named} is named for ${from} to ${to}`);
        assert.deepEqual(run.ids, reference.tokens);
        assert.deepEqual(site.violations(), []);
    }
});

test("a slow engine is not taken for one that hangs", async () => {
    const site = await startSite(1);
    const run = new TestRun({ entry: site.entry, request: "r1", choose: chooseThree });
    const other = new TestRun({ entry: site.entry, request: "r2", choose: chooseThree });
    await site.until(() => run.ids.length === 3);
    // A batch takes longer than the step timeout and the token timeout.
    site.targets.get("b")?.engine.slow(120);
    await site.until(() => run.outcome !== undefined && other.outcome !== undefined);
    assert.equal(run.epoch, 0);
    assert.deepEqual(run.ids, reference.tokens);
});

test("a stage that stalls while a long prompt runs is found", async () => {
    const site = new TestSite(1);
    await site.startAll(names, { agent: { settings: { prefillChunk: 64 } }, engine: { prefillTokenTime: 1 } });
    const prompt = testPrompt.repeat(150);
    const run = new TestRun({ entry: site.entry, request: "r1", choose: chooseThree, changes: { prompt } });
    await site.until(() => site.events("b", "layers.run").length === 3);
    // The process of b stalls: its links stay open, but it sends nothing.
    ["a", "c", "entry"].forEach(other => site.network.holdDirection("b", other));
    const stopped = site.clock.now();
    await site.until(() => run.epoch === 1, 60_000);
    assert.equal(site.entry.answer("r1", 0).failed?.target, "b");
    // One chunk timeout plus the state query; a timeout for the whole prompt would be 40 s.
    assert.ok(site.clock.now() - stopped < 3000, `took ${site.clock.now() - stopped} ms`);
});

test("late frames of an old attempt change nothing", async () => {
    const site = new TestSite(1);
    const dropped: string[] = [];
    await site.startAll(names, { agent: { metrics: { dropped: type => dropped.push(type) } } });
    const run = new TestRun({ entry: site.entry, request: "r1", choose: chooseThree });
    await site.until(() => run.ids.length === 4);
    const [connection] = site.network.between("b", "c");
    assert.ok(connection !== undefined);
    const stuck = connection.from === "b" ? connection.pair.leftToRight : connection.pair.rightToLeft;
    stuck.hold();
    await site.until(() => run.outcome !== undefined);
    assert.equal(run.epoch, 1);
    const before = site.history.length;
    stuck.release();
    await site.clock.advanceAsync(500, 1);
    assert.ok(dropped.includes("frame"));
    assert.equal(site.history.length, before, "nothing ran");
    assert.deepEqual(run.ids, reference.tokens);
});

test("fast-check: losses, hangs, delays and slow callers in any order", async () => {
    const fault = fc.record({
        at: fc.integer({ min: 0, max: 150 }),
        target: fc.constantFrom(...names),
        kind: fc.constantFrom("kill", "hang", "slow", "cutLink", "oneWay"),
        other: fc.constantFrom(...names),
    });
    const scenario = fc.record({
        delay: fc.integer({ min: 0, max: 12 }),
        window: fc.constantFrom(1, 3, 50),
        requests: fc.integer({ min: 1, max: 3 }),
        faults: fc.array(fault, { maxLength: 2 }),
    });
    await fc.assert(
        fc.asyncProperty(scenario, async ({ delay, window, requests, faults }) => {
            const site = await startSite(delay);
            const runs = Array.from(
                { length: requests },
                (_, index) => new TestRun({ entry: site.entry, request: `r${index}`, choose: chooseThree, window }),
            );
            for (const { at, target, kind, other } of faults) {
                site.clock.schedule(() => injectFault(site, target, other, kind), at);
            }
            await site.until(() => runs.every(run => run.outcome !== undefined), 15_000);
            for (const run of runs) {
                assert.notEqual(run.outcome, undefined, "every request ends");
                assert.deepEqual(run.ids, reference.tokens.slice(0, run.ids.length));
                assert.ok(run.outcome !== "completed" || run.ids.length === reference.tokens.length);
                assert.equal(run.outcome, "completed", "two faults leave a whole chain of five targets");
            }
            assert.deepEqual(site.violations(), []);
        }),
        { numRuns: numRuns(60), seed },
    );
});

test("fast-check: claimed requests run once through duplicates, restarts and leaving", async () => {
    const fault = fc.record({
        at: fc.integer({ min: 0, max: 200 }),
        target: fc.constantFrom(...names),
        kind: fc.constantFrom("kill", "hang", "slow", "cutLink", "restart", "leave", "loseEntry"),
        other: fc.constantFrom(...names),
    });
    const duplicate = fc.record({
        at: fc.integer({ min: 0, max: 250 }),
        key: fc.constantFrom("k0", "k1"),
        window: fc.constantFrom(1, 50),
    });
    const scenario = fc.record({
        delay: fc.integer({ min: 0, max: 6 }),
        duplicates: fc.array(duplicate, { minLength: 1, maxLength: 5 }),
        faults: fc.array(fault, { maxLength: 3 }),
    });
    await fc.assert(
        fc.asyncProperty(scenario, async ({ delay, duplicates, faults }) => {
            const site = await startSite(delay);
            const entries = [site.entry, site.createEntry("entry2")];
            const runs: TestRun[] = [];
            for (const [index, { at, key, window }] of duplicates.entries()) {
                const entry = entries[index % 2] ?? site.entry;
                site.clock.schedule(() => runs.push(startClaimed(entry, `r${index}`, key, window)), at);
            }
            for (const { at, target, kind, other } of faults) {
                site.clock.schedule(() => injectFault(site, target, other, kind), at);
            }
            await site.until(
                () => runs.length === duplicates.length && runs.every(run => run.outcome !== undefined),
                15_000,
            );
            for (const run of runs) {
                assert.notEqual(run.outcome, undefined, "every request ends");
                assert.deepEqual(run.ids, reference.tokens.slice(0, run.ids.length));
                assert.ok(run.outcome !== "completed" || run.ids.length === reference.tokens.length);
                assert.ok(faults.length > 0 || run.outcome === "completed", "without a fault all complete");
            }
            assert.deepEqual(site.violations(), []);
        }),
        { numRuns: numRuns(100), seed },
    );
});

/** Starts a request that only the first incarnation of agent a may run. */
function startClaimed(entry: TestEntry, request: string, key: string, window: number): TestRun {
    const runner = { target: "a", incarnation: "a-1" };
    const keyHash = shortHash(key);
    const claim = encodeClaim({ route: "demo", organisation: "ports", keyHash, generation: 0, runner });
    const choose = (excluded: ReadonlySet<string>): ReturnType<typeof chainOf> | undefined => {
        const chain = chooseThree(excluded);
        return chain?.[0]?.target === "a" ? chain : undefined;
    };
    return new TestRun({ entry, request, key, choose, changes: { claim }, window });
}

function injectFault(site: TestSite, target: string, other: string, kind: string): void {
    switch (kind) {
        case "kill":
            site.kill(target);
            return;
        case "hang":
            site.targets.get(target)?.engine.hang();
            return;
        case "slow":
            site.targets.get(target)?.engine.slow(10);
            return;
        case "cutLink":
            site.network.between(target, other).forEach(({ pair }) => pair.cut());
            return;
        case "restart":
            site.network.kill(target);
            void site.targets.get(target)?.agent.close();
            void site.start(target, { incarnation: `${target}-2-${site.clock.now()}` });
            return;
        case "leave":
            void site.targets.get(target)?.agent.leave();
            return;
        case "loseEntry":
            site.network.between("entry", target).forEach(({ pair }) => pair.cut());
            return;
        default:
            // Links to the entry are never held, as detecting that is up to the heartbeat of the transport.
            if (target !== other) {
                site.network.holdDirection(target, other);
            }
    }
}
