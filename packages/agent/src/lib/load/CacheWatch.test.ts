import { type CacheEvent, type Engine, FakeEngine, type FakeEngineOptions, type Session } from "@waxwingspar/engine";
import { failure, ManualClock, type Outcome, requestCodes, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { CacheWatch } from "./CacheWatch.js";

const held = [{ model: "demo", version: "1", first: 0, last: 1 }];
const promptTokens = 64;

/** Creates a watch of a fake engine, whose prompts take four blocks each. */
function setUp(options: Partial<FakeEngineOptions> = {}) {
    const clock = new ManualClock();
    const create = () => new FakeEngine({ clock, held, stepTime: 1, random: seededRandom(5), ...options });
    const site = { engine: create(), prompts: 0 };
    const calls: Pick<Engine, "cacheEvents"> = { cacheEvents: after => site.engine.cacheEvents(after) };
    const watch = new CacheWatch({ engine: calls, clock, interval: 1000 });
    watch.start();
    const prompt = async () => {
        const tokens = Array.from({ length: promptTokens }, (_, index) => 1000 * site.prompts + index);
        const session: Session = { ...held[0]!, session: `s${site.prompts}`, priority: 0, tokens };
        site.prompts++;
        await site.engine.open(session);
        const step = { session: session.session, position: 0, count: promptTokens, tokens, sample: true };
        const done = site.engine.step(step);
        await clock.advanceAsync(20, 1);
        assert.ok((await done).isOk);
        await site.engine.close(session.session);
    };
    const settle = () => clock.advanceAsync(4000, 100);
    return { clock, site, watch, prompt, settle, replaceEngine: () => site.engine = create() };
}

async function repeat(count: number, work: () => Promise<void>): Promise<void> {
    for (let index = 0; index < count; index++) {
        await work();
    }
}

test("reports are empty until the engine has answered, also while it hangs", async () => {
    const { site, watch, settle } = setUp();
    assert.deepEqual(watch.report(), {});
    site.engine.hang();
    await settle();
    assert.deepEqual(watch.report(), {});
    site.engine.resume();
    await settle();
    assert.deepEqual(watch.report(), { cacheGeneration: 0, cacheEvicted: 0 });
});

test("evictions are reported as a share of the cache per minute, even if events are delayed", async () => {
    const { clock, watch, prompt, settle } = setUp({ cacheBlocks: 40, cacheEventDelay: 3000 });
    await settle();
    await repeat(10, prompt);
    await settle();
    assert.equal(watch.report().cacheEvicted, 0);
    // One prompt of four blocks per second replaces a cache of 40 blocks six times per minute.
    await repeat(120, async () => {
        await prompt();
        await clock.advanceAsync(980, 980);
    });
    const share = watch.report().cacheEvicted ?? 0;
    assert.ok(share > 5 && share < 7, `${share}`);
    assert.equal(watch.report().cacheGeneration, 0);
    await clock.advanceAsync(300_000, 1000);
    assert.ok((watch.report().cacheEvicted ?? 1) < 0.1);
});

test("a typical share of lost events is compensated and does not raise the generation", async () => {
    const { clock, watch, prompt } = setUp({ cacheBlocks: 400, cacheEventGapRate: 0.1 });
    await repeat(300, async () => {
        await prompt();
        await clock.advanceAsync(980, 980);
    });
    const { cacheGeneration, cacheEvicted = 0 } = watch.report();
    assert.equal(cacheGeneration, 0);
    // Four blocks per second are 0.6 of the cache per minute.
    assert.ok(cacheEvicted > 0.45 && cacheEvicted < 0.75, `${cacheEvicted}`);
});

test("an engine that restarts with an empty cache raises the generation once", async () => {
    const { clock, site, watch, prompt, settle, replaceEngine } = setUp();
    await repeat(5, prompt);
    await settle();
    replaceEngine();
    await settle();
    assert.equal(watch.report().cacheGeneration, 1);
    await repeat(8, prompt);
    await settle();
    await clock.advanceAsync(10_000, 1000);
    assert.equal(watch.report().cacheGeneration, 1);
    site.engine.crash();
    await settle();
    site.engine.restart();
    await settle();
    assert.ok(watch.report().cacheGeneration! >= 2);
});

test("a restart between two polls is detected even if the new engine has published more events", async () => {
    const { watch, prompt, settle, replaceEngine } = setUp({ cacheEventDelay: 0 });
    await prompt();
    await settle();
    replaceEngine();
    await repeat(3, prompt);
    await settle();
    assert.equal(watch.report().cacheGeneration, 1);
});

/** Creates a watch of an engine with scripted answers. */
function scripted() {
    const clock = new ManualClock();
    const log: CacheEvent[] = [];
    const answer: { failure?: Outcome<CacheEvent[]>; } = {};
    const cacheEvents = (after: number) =>
        Promise.resolve(answer.failure ?? Result.ok<CacheEvent[], never>(log.filter(event => event.sequence > after)));
    const watch = new CacheWatch({ engine: { cacheEvents }, clock, interval: 1000 });
    watch.start();
    const add = (first: number, count: number, kind: CacheEvent["kind"] = "stored") => {
        for (let sequence = first; sequence < first + count; sequence++) {
            log.push({ sequence, kind, blocks: kind === "cleared" ? [] : [`block-${sequence}`] });
        }
    };
    return { clock, log, answer, watch, add, poll: () => clock.advanceAsync(1000, 1000) };
}

test("a gap larger than a quarter of the cache raises the generation, a smaller one does not", async () => {
    const { watch, add, poll } = scripted();
    add(1, 100);
    await poll();
    add(121, 10);
    await poll();
    assert.equal(watch.report().cacheGeneration, 0);
    add(251, 10);
    await poll();
    assert.equal(watch.report().cacheGeneration, 1);
});

test("an engine whose log lacks the last event raises the generation", async () => {
    const { watch, log, add, poll } = scripted();
    add(1, 10);
    await poll();
    log.length = 0;
    add(9000, 10);
    await poll();
    await poll();
    assert.equal(watch.report().cacheGeneration, 1);
    // The beginning of the log was missed, so the size of the cache is unknown until it is cleared.
    assert.equal(watch.report().cacheEvicted, undefined);
    add(9010, 1, "cleared");
    await poll();
    assert.deepEqual(watch.report(), { cacheGeneration: 2, cacheEvicted: 0 });
});

test("a failed poll does not count as a restart, and a stopped watch does not poll", async () => {
    const { clock, answer, watch, add, poll } = scripted();
    add(1, 10);
    await poll();
    answer.failure = Result.err(failure(requestCodes.engineFailed, "busy"));
    await poll();
    answer.failure = undefined;
    await poll();
    assert.equal(watch.report().cacheGeneration, 0);
    watch.stop();
    add(11, 1, "cleared");
    await clock.advanceAsync(5000, 1000);
    assert.equal(watch.report().cacheGeneration, 0);
});
