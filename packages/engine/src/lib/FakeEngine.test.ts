import {
    ManualClock,
    type Outcome,
    platformCodes,
    requestCodes,
    resourceCodes,
    transportCodes,
} from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { setImmediate as settle } from "node:timers/promises";
import { type Engine, type Order, type Session, type StepResult } from "./Engine.js";
import { FakeEngine, type FakeEngineOptions } from "./FakeEngine.js";
import { referenceAnswer } from "./model/referenceAnswer.js";
import { tokenizeText } from "./model/vocabulary.js";

const layers = 12;
const model = "demo";
const prompt = "The brake of forklift 7 squeals after rain; what should I check first, and in which order?";
const answerTokens = 6;

/** Creates an engine whose batches complete instantly, so that tests need not advance the clock. */
function instantEngine(options: Partial<FakeEngineOptions> = {}): FakeEngine {
    return new FakeEngine({
        clock: new ManualClock(),
        held: [{ model, version: "1", first: 0, last: layers - 1 }, {
            model,
            version: "2",
            first: 0,
            last: layers - 1,
        }],
        stepTime: 0,
        itemTime: 0,
        prefillTokenTime: 0,
        ...options,
    });
}

interface StageRange {
    readonly first: number;
    readonly last: number;
    readonly version?: string;
}

function sessionOf({ first, last, version = "1" }: StageRange, changes: Partial<Session> = {}): Session {
    return { session: `${first}-${last}`, model, version, first, last, priority: 0, ...changes };
}

function unwrap<T>(outcome: Outcome<T>): T {
    assert.ok(outcome.isOk, outcome.isErr ? outcome.error.message : "");
    return outcome.value;
}

function codeOf(outcome: Outcome<unknown>): number | undefined {
    return outcome.isErr ? outcome.error.code.number : undefined;
}

/** Runs tokens through a chain of stages and returns the result of the last stage. */
async function runChain(engine: Engine, stages: StageRange[], position: number, tokens: number[]): Promise<StepResult> {
    let result: StepResult = {};
    for (const [index, stage] of stages.entries()) {
        result = unwrap(
            await engine.step({
                session: sessionOf(stage).session,
                position,
                count: tokens.length,
                ...(index === 0 ? { tokens } : { activations: result.activations }),
                sample: index === stages.length - 1,
            }),
        );
    }
    return result;
}

async function generate(engine: Engine, stages: StageRange[]): Promise<number[]> {
    for (const stage of stages) {
        unwrap(await engine.open(sessionOf(stage)));
    }
    let input = tokenizeText(prompt);
    let position = 0;
    const answer: number[] = [];
    while (answer.length < answerTokens) {
        const { token = -1 } = await runChain(engine, stages, position, input);
        position += input.length;
        input = [token];
        answer.push(token);
    }
    return answer;
}

function expected(version = "1"): readonly number[] {
    return referenceAnswer({ model, version, layers, prompt, maxTokens: answerTokens }).tokens;
}

test("any split of the layers into stages gives the reference answer", async () => {
    const cuts = fc.uniqueArray(fc.integer({ min: 1, max: layers - 1 }), { maxLength: 4 });
    await fc.assert(fc.asyncProperty(cuts, async points => {
        const starts = [0, ...points.sort((a, b) => a - b)];
        const stages = starts.map((first, index) => ({ first, last: (starts[index + 1] ?? layers) - 1 }));
        assert.deepEqual(await generate(instantEngine(), stages), expected());
    }));
});

test("a layer skipped, repeated or out of order, or another version, changes the answer", async () => {
    const faults: StageRange[][] = [
        [{ first: 0, last: 4 }, { first: 6, last: 11 }],
        [{ first: 0, last: 5 }, { first: 5, last: 11 }],
        [{ first: 0, last: 3 }, { first: 8, last: 11 }, { first: 4, last: 7 }],
        [{ first: 0, last: 5 }, { first: 6, last: 11, version: "2" }],
    ];
    for (const stages of faults) {
        const answer = await generate(instantEngine(), stages);
        assert.notDeepEqual(answer, expected("1"));
        assert.notDeepEqual(answer, expected("2"));
    }
});

test("prompt, version, adapter and seed change the answer", () => {
    const base = { model, version: "1", layers, prompt, maxTokens: answerTokens };
    // The second prompt differs only in its first word, which reaches later positions only through the KV cache.
    const variants = [
        base,
        { ...base, prompt: prompt.replace("The", "One") },
        { ...base, prompt: `${prompt}?` },
        { ...base, version: "2" },
        { ...base, adapter: "x" },
        {
            ...base,
            seed: 9,
        },
    ];
    const texts = variants.map(variant => referenceAnswer(variant).text);
    assert.equal(new Set(texts).size, variants.length);
});

test("a step that skips or repeats a position fails and leaves the session unchanged", async () => {
    const engine = instantEngine();
    const whole = { first: 0, last: layers - 1 };
    unwrap(await engine.open(sessionOf(whole)));
    const tokens = tokenizeText(prompt);
    await runChain(engine, [whole], 0, tokens);
    for (const position of [0, tokens.length - 1, tokens.length + 1]) {
        const outcome = await engine.step({ session: "0-11", position, count: 1, tokens: [5], sample: true });
        assert.equal(codeOf(outcome), requestCodes.engineFailed.number);
    }
    const [first = -1, second] = expected();
    assert.equal((await runChain(engine, [whole], tokens.length, [first])).token, second);
});

test("a batch takes the steps with the highest priorities, up to the number of slots", async () => {
    const clock = new ManualClock();
    const engine = instantEngine({ clock, slots: 2, stepTime: 10 });
    const priorities = [1, 0, 5, 1, 3];
    const done: number[] = [];
    for (const [index, priority] of priorities.entries()) {
        unwrap(await engine.open(sessionOf({ first: 0, last: 0 }, { session: String(index), priority })));
    }
    for (const index of priorities.keys()) {
        void engine.step({ session: String(index), position: 0, count: 1, tokens: [7], sample: true })
            .then(() => done.push(index));
    }
    await settle();
    await clock.advanceAsync(9, 9);
    assert.deepEqual(done, []);
    await clock.advanceAsync(1, 1);
    assert.deepEqual(done, [2, 4]);
    await clock.advanceAsync(20, 10);
    assert.deepEqual(done, [2, 4, 0, 3, 1]);
});

test("the prefix cache reuses complete blocks without changing the answer", async () => {
    const engine = instantEngine();
    const long = Array.from({ length: 50 }, (_, index) => `word${index}`).join(" ");
    const tokens = tokenizeText(long);
    const whole = { first: 0, last: layers - 1 };
    assert.equal(unwrap(await engine.open(sessionOf(whole, { tokens }))).cached, 0);
    const { token } = await runChain(engine, [whole], 0, tokens);
    await engine.close("0-11");
    assert.equal(unwrap(await engine.open(sessionOf(whole, { tokens }))).cached, 48);
    // The first step may start before the end of this stage's cached prefix, since another stage may have cached less.
    assert.equal((await runChain(engine, [whole], 37, tokens.slice(37))).token, token);
    assert.equal(
        unwrap(await engine.open(sessionOf(whole, { session: "block", tokens: tokens.slice(0, 32) }))).cached,
        16,
    );
    const other = tokens.with(20, 3);
    assert.equal(unwrap(await engine.open(sessionOf(whole, { session: "other", tokens: other }))).cached, 16);
});

test("the prefix cache evicts the least recently used blocks, and its events are delayed and have gaps", async () => {
    const clock = new ManualClock();
    const engine = instantEngine({ clock, cacheBlocks: 2, cacheEventDelay: 100, cacheEventGapRate: 0.4 });
    const whole = { first: 0, last: layers - 1 };
    for (let index = 0; index < 20; index++) {
        const tokens = Array.from({ length: 17 }, () => index);
        unwrap(await engine.open(sessionOf(whole, { tokens })));
        await runChain(engine, [whole], 0, tokens);
        await engine.close("0-11");
    }
    const cachedOf = async (index: number) => {
        const tokens = Array.from({ length: 17 }, () => index);
        const { cached } = unwrap(await engine.open(sessionOf(whole, { session: `again ${index}`, tokens })));
        return cached;
    };
    assert.deepEqual([await cachedOf(17), await cachedOf(18), await cachedOf(19)], [0, 16, 16]);
    assert.deepEqual(unwrap(await engine.cacheEvents(0)), []);
    clock.advance(100);
    const events = unwrap(await engine.cacheEvents(0));
    const published = 20 + 18;
    assert.ok(events.length > 0 && events.length < published);
    assert.ok(events.every((event, index) => index === 0 || event.sequence > (events[index - 1]?.sequence ?? 0)));
    const middle = events[5]?.sequence ?? 0;
    assert.deepEqual(unwrap(await engine.cacheEvents(middle)), events.slice(6));
});

test("another engine can continue from an exported KV cache", async () => {
    const [from, to] = [instantEngine(), instantEngine()];
    const whole = { first: 0, last: layers - 1 };
    const tokens = tokenizeText(prompt);
    unwrap(await from.open(sessionOf(whole)));
    const { token = -1 } = await runChain(from, [whole], 0, tokens);
    const { data, positions } = unwrap(await from.exportCache("0-11"));
    assert.equal(positions, tokens.length);
    unwrap(await to.open(sessionOf(whole)));
    assert.equal(unwrap(await to.importCache("0-11", data)).positions, tokens.length);
    assert.equal((await runChain(to, [whole], positions, [token])).token, expected()[1]);
    assert.equal(codeOf(await to.importCache("0-11", data)), requestCodes.engineFailed.number);
    unwrap(await to.open(sessionOf({ first: 0, last: 3 })));
    assert.equal(codeOf(await to.importCache("0-3", data)), requestCodes.engineFailed.number);
    assert.equal(codeOf(await to.importCache("0-3", new Uint8Array([1, 2]))), requestCodes.engineFailed.number);
});

function loadOrder(id: string, bytes: number, fence = 1): Order {
    return { id, fence, action: { kind: "load", model, version: id, first: 0, last: 3, bytes } };
}

test("a load takes time and memory, and a repeated order takes effect once", async () => {
    const clock = new ManualClock();
    const engine = instantEngine({ clock, memory: 100, loadRate: 50 });
    const both = Promise.all([engine.order(loadOrder("a", 75)), engine.order(loadOrder("a", 75))]);
    assert.equal(codeOf(await engine.order(loadOrder("b", 50))), resourceCodes.insufficientCapacity.number);
    assert.equal(unwrap(await engine.info()).freeMemory, 25);
    const early = await engine.open(sessionOf({ first: 0, last: 3, version: "a" }));
    assert.equal(codeOf(early), requestCodes.wrongTarget.number);
    clock.advance(1500);
    (await both).forEach(unwrap);
    unwrap(await engine.open(sessionOf({ first: 0, last: 3, version: "a" })));
    unwrap(await engine.order({ id: "c", fence: 1, action: { kind: "unload", model, version: "a" } }));
    assert.equal(unwrap(await engine.info()).freeMemory, 100);
    const step = await engine.step({ session: "0-3", position: 0, count: 1, tokens: [1], sample: false });
    assert.equal(codeOf(step), requestCodes.engineFailed.number);
    const second = engine.order(loadOrder("b", 50));
    await clock.advanceAsync(1000, 1000);
    unwrap(await second);
});

test("the engine serves only sessions that its adapters and role allow", async () => {
    const engine = instantEngine();
    const session = sessionOf({ first: 0, last: 3 }, { adapter: "parts" });
    assert.equal(codeOf(await engine.open(session)), requestCodes.wrongTarget.number);
    const adapter = { model, version: "1", adapter: "parts" };
    unwrap(await engine.order({ id: "a", fence: 1, action: { kind: "loadAdapter", ...adapter } }));
    unwrap(await engine.open(session));
    unwrap(await engine.order({ id: "b", fence: 1, action: { kind: "unloadAdapter", ...adapter } }));
    assert.equal(codeOf(await engine.open({ ...session, session: "x" })), requestCodes.wrongTarget.number);
    unwrap(await engine.order({ id: "c", fence: 1, action: { kind: "setRole", role: "idle" } }));
    assert.equal(codeOf(await engine.open(sessionOf({ first: 4, last: 5 }))), requestCodes.wrongTarget.number);
});

test("only an engine that checks fencing tokens refuses an outdated one", async () => {
    for (const checksFence of [true, false]) {
        const engine = instantEngine({ checksFence, loadRate: Infinity });
        const role = (id: string, fence: number, name: "serving" | "idle") => (
            engine.order({ id, fence, action: { kind: "setRole", role: name } })
        );
        unwrap(await role("new", 7, "serving"));
        const old = await role("old", 6, "idle");
        assert.equal(codeOf(old), checksFence ? platformCodes.staleFence.number : undefined);
        const info = unwrap(await engine.info());
        assert.equal(info.role, checksFence ? "serving" : "idle");
        assert.equal(info.fence, checksFence ? 7 : undefined);
    }
});

test("a hang suspends every call; a crash fails all calls and drops the sessions", async () => {
    const clock = new ManualClock();
    const engine = instantEngine({ clock, stepTime: 10 });
    const whole = { first: 0, last: layers - 1 };
    unwrap(await engine.open(sessionOf(whole)));
    const steps: (number | undefined)[] = [];
    const step = { session: "0-11", position: 0, count: 1, tokens: [1], sample: false };
    void engine.step(step).then(outcome => steps.push(codeOf(outcome)));
    await settle();
    await clock.advanceAsync(5, 5);
    engine.hang();
    let answered = 0;
    void engine.info().then(() => answered++);
    await clock.advanceAsync(1000, 100);
    assert.deepEqual([steps, answered], [[], 0]);
    engine.resume();
    await clock.advanceAsync(10, 10);
    assert.deepEqual([steps, answered], [[undefined], 1]);

    void engine.step({ ...step, position: 1 }).then(outcome => steps.push(codeOf(outcome)));
    await clock.advanceAsync(1, 1);
    engine.crash();
    assert.equal(codeOf(await engine.info()), transportCodes.notConnected.number);
    await settle();
    assert.deepEqual(steps, [undefined, requestCodes.engineFailed.number]);
    engine.restart();
    assert.equal(codeOf(await engine.step(step)), requestCodes.engineFailed.number);
    assert.equal(unwrap(await engine.open(sessionOf(whole))).cached, 0);
});

test("a step whose session is closed while its batch runs is cancelled", async () => {
    const clock = new ManualClock();
    const engine = instantEngine({ clock, stepTime: 10 });
    unwrap(await engine.open(sessionOf({ first: 0, last: 1 })));
    const step = engine.step({ session: "0-1", position: 0, count: 1, tokens: [1], sample: true });
    await settle();
    await engine.close("0-1");
    // A new session with the same ID must not receive the step either.
    unwrap(await engine.open(sessionOf({ first: 0, last: 1 })));
    await clock.advanceAsync(10, 10);
    assert.equal(codeOf(await step), requestCodes.cancelled.number);
    assert.equal(unwrap(await engine.exportCache("0-1")).positions, 0);
});

test("a load of layers that are already loading or loaded takes no further memory", async () => {
    const clock = new ManualClock();
    const engine = instantEngine({ clock, memory: 100, loadRate: 50 });
    const load = (id: string, first: number, last: number): Order => (
        { id, fence: 1, action: { kind: "load", model, version: "a", first, last, bytes: 75 } }
    );
    const outcomes = Promise.all([engine.order(load("1", 0, 3)), engine.order(load("2", 0, 3))]);
    const part = engine.order(load("3", 1, 2));
    await clock.advanceAsync(1500, 100);
    [...await outcomes, await part].forEach(outcome => unwrap(outcome));
    unwrap(await engine.order(load("4", 0, 3)));
    const info = unwrap(await engine.info());
    const held = info.held.filter(({ version }) => version === "a").map(({ first, last }) => [first, last]);
    assert.deepEqual([held, info.freeMemory], [[[0, 3]], 25]);
});

test("a slowed engine takes longer, a closed session frees its slot, and the reported load lags", async () => {
    const clock = new ManualClock();
    const engine = instantEngine({ clock, slots: 1, stepTime: 10, loadLag: 100 });
    engine.slow(4);
    const codes = new Map<string, number | undefined>();
    for (const session of ["a", "b", "c"]) {
        unwrap(await engine.open(sessionOf({ first: 0, last: 1 }, { session })));
        void engine.step({ session, position: 0, count: 1, tokens: [1], sample: false })
            .then(outcome => codes.set(session, codeOf(outcome)));
    }
    await settle();
    await clock.advanceAsync(30, 10);
    assert.equal(unwrap(await engine.load()).waiting, 0);
    await engine.close("b");
    await engine.close("b");
    await clock.advanceAsync(10, 10);
    assert.deepEqual([...codes], [["b", requestCodes.cancelled.number], ["a", undefined]]);
    await clock.advanceAsync(40, 10);
    assert.equal(codes.size, 3);
    await clock.advanceAsync(30, 10);
    const { waiting, age } = unwrap(await engine.load());
    assert.ok(waiting > 0 && age >= 100, `waiting ${waiting}, age ${age}`);
});
