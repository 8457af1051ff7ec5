import { ManualClock, platformCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { MemoryTableStore } from "./MemoryTableStore.js";

function setUp() {
    const clock = new ManualClock();
    const effects: string[] = [];
    const store = new MemoryTableStore({ clock, writeIdRetention: 1000, onEffect: id => effects.push(id) });
    return { clock, effects, store };
}

test("a transaction writes all rows or none", async () => {
    const { store, effects } = setUp();
    const create = { writeId: "1", conditions: [{ key: "a", version: 0 }], writes: [{ key: "a", value: 1 }] };
    assert.ok((await store.commit(create)).isOk);
    const racing = {
        writeId: "2",
        conditions: [{ key: "b", version: 0 }, { key: "a", version: 0 }],
        writes: [{ key: "b", value: 2 }],
    };
    const outcome = await store.commit(racing);
    assert.ok(outcome.isErr && outcome.error.code === platformCodes.conditionFailed);
    assert.equal((await store.get("b")).unwrapOr(undefined)?.version, 0);
    assert.deepEqual(effects, ["1"]);
});

test("a row deleted and written again never reuses a version", async () => {
    const { store } = setUp();
    const write = async (writeId: string, value?: unknown) => {
        const outcome = await store.commit({ writeId, conditions: [], writes: [{ key: "a", value }] });
        return outcome.isOk ? outcome.value["a"] ?? -1 : -1;
    };
    const first = await write("1", "x");
    assert.equal(await write("2"), 0);
    assert.ok(await write("3", "x") > first);
});

test("lost responses are reported as unknown, and write ids are dropped after their retention", async () => {
    const { store, clock, effects } = setUp();
    store.faults.set({ losesBefore: 1, losesAfter: 1 });
    for (const writeId of ["1", "2"]) {
        const outcome = await store.commit({ writeId, conditions: [], writes: [{ key: writeId, value: 1 }] });
        assert.ok(outcome.isErr && outcome.error.code === platformCodes.storeUnknown);
    }
    assert.deepEqual(effects, ["2"]);
    assert.equal((await store.findCommit("1")).unwrapOr({}), undefined);
    assert.ok((await store.findCommit("2")).unwrapOr(undefined));
    clock.advance(1001);
    assert.equal((await store.findCommit("2")).unwrapOr({}), undefined);
});

test("stale reads do not weaken conditions", async () => {
    const { store } = setUp();
    store.faults.set({ stale: true });
    assert.equal((await store.get("a")).unwrapOr(undefined)?.version, 0);
    const create = { writeId: "1", conditions: [{ key: "a", version: 0 }], writes: [{ key: "a", value: 1 }] };
    await store.commit(create);
    assert.equal((await store.get("a")).unwrapOr(undefined)?.version, 0);
    assert.ok((await store.commit({ ...create, writeId: "2" })).isErr);
});

test("calls above the rate limit are refused, and a store that is down refuses all", async () => {
    const { store, clock } = setUp();
    store.faults.set({ readsPerSecond: 2 });
    const reads = await Promise.all([1, 2, 3].map(() => store.get("a")));
    assert.deepEqual(reads.map(read => read.isOk), [true, true, false]);
    clock.advance(500);
    assert.ok((await store.get("a")).isOk);
    store.faults.set({ down: true });
    assert.ok((await store.get("a")).isErr);
});

test("scans return keys in order, starting after the given key", async () => {
    const { store } = setUp();
    const writes = ["p/2", "p/1", "q/1", "p/3"].map(key => ({ key, value: key }));
    await store.commit({ writeId: "1", conditions: [], writes });
    const rows = (await store.scan("p/", "p/1", 5)).unwrapOr([]);
    assert.deepEqual(rows.map(row => row.key), ["p/2", "p/3"]);
});
