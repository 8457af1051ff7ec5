import { ManualClock, type Outcome, platformCodes, seededRandom } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { MemoryTableStore } from "../memory/MemoryTableStore.js";
import { type TableStore, type Transaction } from "../TableStore.js";
import { StoreClient, type StoreClientOptions } from "./StoreClient.js";

interface SetUp {
    readonly clock: ManualClock;
    readonly store: MemoryTableStore;
    readonly client: StoreClient;
    readonly effects: string[];
}

function setUp(options: Partial<StoreClientOptions> = {}, seed = 1): SetUp {
    const clock = new ManualClock();
    const effects: string[] = [];
    const store = new MemoryTableStore({ clock, onEffect: id => effects.push(id) });
    const client = new StoreClient({
        store,
        clock,
        random: seededRandom(seed),
        readsPerSecond: 1000,
        writesPerSecond: 1000,
        ...options,
    });
    return { clock, store, client, effects };
}

/** Advances the clock until a call has settled. */
async function ended<T>(clock: ManualClock, call: Promise<T>): Promise<T> {
    let open = true;
    void call.finally(() => open = false);
    while (open) {
        await clock.advanceAsync(50, 50);
    }
    return call;
}

async function putRow(store: TableStore): Promise<number> {
    const outcome = await store.commit({ writeId: "put", conditions: [], writes: [{ key: "a", value: 0 }] });
    return outcome.isOk ? outcome.value["a"] ?? 0 : 0;
}

function increment(version: number, writeId = "w"): Transaction {
    return { writeId, conditions: [{ key: "a", version }], writes: [{ key: "a", value: 1 }] };
}

function codeOf(outcome: Outcome<unknown>): number | undefined {
    return outcome.isErr ? outcome.error.code.number : undefined;
}

test("a lost answer never looks like a conflict", async () => {
    const { clock, store, client, effects } = setUp();
    const version = await putRow(store);
    store.faults.set({ losesAfter: 1 });
    assert.ok((await ended(clock, client.commitOnce(increment(version)))).isOk);
    assert.deepEqual(effects, ["put", "w"]);
});

test("a write lost before its effect is repeated", async () => {
    const { clock, store, client, effects } = setUp();
    const version = await putRow(store);
    store.faults.set({ losesBefore: 2, losesAfter: 1 });
    assert.ok((await ended(clock, client.commitOnce(increment(version)))).isOk);
    assert.deepEqual(effects, ["put", "w"]);
});

test("a delayed first copy and its repeat take effect once", async () => {
    const { clock, store, client, effects } = setUp({ timeout: 100 });
    const version = await putRow(store);
    store.faults.set({ delay: 5000 });
    const call = client.commitOnce(increment(version));
    await clock.advanceAsync(300, 50);
    store.faults.set({ delay: 0 });
    assert.ok((await ended(clock, call)).isOk);
    await clock.advanceAsync(6000, 50);
    assert.deepEqual(effects, ["put", "w"]);
});

test("a write without a condition is not repeated", async () => {
    const { clock, store, client, effects } = setUp();
    store.faults.set({ losesBefore: 1 });
    const transaction = { writeId: "w", conditions: [], writes: [{ key: "a", value: 1 }] };
    assert.equal(codeOf(await ended(clock, client.commitOnce(transaction))), platformCodes.storeUnknown.number);
    assert.deepEqual(effects, []);
});

test("an unknown write stays unknown once the store may have dropped its write id", async () => {
    const { clock, store, client } = setUp({ commitTimeout: 5000 });
    const version = await putRow(store);
    store.faults.set({ losesAfter: 1 });
    await clock.advanceAsync(10, 10);
    const call = client.commitOnce(increment(version));
    await clock.advanceAsync(10, 10);
    store.faults.set({ down: true });
    clock.advance(700_000);
    store.faults.set({ down: false });
    assert.equal(codeOf(await ended(clock, call)), platformCodes.storeUnknown.number);
});

test("whatever is lost or late, a write takes effect once and its result is told right", async t => {
    const fault = fc.record({
        losesBefore: fc.nat(2),
        losesAfter: fc.nat(2),
        delay: fc.constantFrom(0, 0, 150, 900),
        answerDelay: fc.constantFrom(0, 0, 150, 900),
        down: fc.boolean(),
    });
    const run = fc.asyncProperty(fc.array(fault, { maxLength: 8 }), fc.nat(), async (faults, seed) => {
        const { clock, store, client, effects } = setUp({ timeout: 200, commitTimeout: 4000 }, seed);
        const version = await putRow(store);
        const calls = ["x", "y"].map(writeId => client.commitOnce(increment(version, writeId)));
        for (const settings of faults) {
            store.faults.set(settings);
            await clock.advanceAsync(300, 50);
        }
        store.faults.set({ losesBefore: 0, losesAfter: 0, delay: 0, answerDelay: 0, down: false });
        const outcomes = await Promise.all(calls.map(call => ended(clock, call)));
        await clock.advanceAsync(2000, 50);
        for (const [index, writeId] of ["x", "y"].entries()) {
            const effectCount = effects.filter(effect => effect === writeId).length;
            assert.ok(effectCount <= 1, "took effect twice");
            const outcome = outcomes[index];
            assert.ok(outcome);
            const told = outcome.isOk ? 1 : outcome.error.code === platformCodes.storeUnknown ? effectCount : 0;
            assert.equal(told, effectCount, "the reported result differs from the actual effect");
        }
    });
    const seed = Number(process.env["FC_SEED"] ?? 20261202);
    t.diagnostic(`seed ${seed}`);
    await fc.assert(run, { seed, numRuns: 200 });
});

test("equal reads of one turn share a call; later ones do not", async () => {
    const { clock, store, client } = setUp({ burst: 10 });
    await clock.advanceAsync(1000);
    await Promise.all([client.get("a"), client.get("a"), client.get("b")]);
    assert.equal(store.faults.arrivals.read, 2);
    await client.get("a");
    assert.equal(store.faults.arrivals.read, 3);
});

test("calls above the process's rate are refused with a retry time", async () => {
    const { clock, client } = setUp({ readsPerSecond: 1, burst: 1, maxWait: 1500 });
    await clock.advanceAsync(2000);
    const calls = ["a", "b", "c"].map(key => client.get(key));
    const refused = await calls[2];
    assert.equal(refused && codeOf(refused), platformCodes.budgetExhausted.number);
    assert.ok(refused?.isErr && (refused.error.retryAfter ?? 0) > 0);
    await clock.advanceAsync(1000);
    assert.ok((await calls[1])?.isOk);
});

test("a store that is down is only probed, and used again once it responds", async () => {
    const { clock, store, client } = setUp();
    store.faults.set({ down: true });
    for (let second = 0; second < 600; second++) {
        await Promise.all([client.get("a"), clock.advanceAsync(1000, 500)]);
    }
    assert.ok(store.faults.arrivals.read < 100, `${store.faults.arrivals.read} reads`);
    store.faults.set({ down: false });
    let answered = false;
    for (let second = 0; second < 31 && !answered; second++) {
        const [outcome] = await Promise.all([client.get("a"), clock.advanceAsync(1000, 500)]);
        answered = outcome.isOk;
    }
    assert.ok(answered);
});
