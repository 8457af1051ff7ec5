import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs } from "../testing/fixtures.js";
import { EraStore } from "./EraStore.js";
import { type Store, type WriteResult } from "./Store.js";
import { StoreEras } from "./StoreEras.js";

type Read = Awaited<ReturnType<Store["read"]>>;
type Watched = Awaited<ReturnType<Store["watch"]>>;

function createStore() {
    const eras = new StoreEras();
    let newEras = 0;
    eras.onNewEra(() => void newEras++);
    const answers = {
        read: { kind: "read", rows: [], version: 5, era: 1 } as Read,
        watch: { kind: "changes", changes: [], version: 5, era: 1 } as Watched,
        write: { kind: "written", version: 6, era: 1 } as WriteResult,
    };
    const store = new EraStore({
        store: {
            read: () => Promise.resolve(answers.read),
            watch: () => Promise.resolve(answers.watch),
            write: () => Promise.resolve(answers.write),
        },
        eras,
        observation: { logs: silentLogs(), metrics: new GatewayMetrics(new MetricRegistry(new ManualClock())) },
    });
    const write = () => store.write({ table: "t", key: "k", value: 1, expectedVersion: 5 });
    return { eras, answers, store, write, newEras: () => newEras };
}

test("the first reported era notifies no listener, and replies without an era change nothing", async () => {
    const { eras, answers, store, newEras } = createStore();
    await store.read("t");
    answers.read = { kind: "unknown", reason: "timeout" };
    await store.read("t");
    assert.equal(eras.current, 1);
    assert.equal(newEras(), 0);
});

test("the era of a refused call counts as well", async () => {
    const { answers, store, newEras } = createStore();
    await store.read("t");
    answers.read = { kind: "unavailable", reason: "status 503", era: 2 };
    await store.read("t");
    assert.equal(newEras(), 1);
});

test("an answer of an earlier era that comes late is not taken", async () => {
    const { eras, answers, store, write } = createStore();
    eras.observe(2);
    assert.equal((await store.read("t")).kind, "unknown");
    assert.equal((await store.watch("t", 5, 0)).kind, "unknown");
    assert.equal((await write()).kind, "unknown");
    answers.read = { kind: "read", rows: [], version: 3, era: 2 };
    assert.equal((await store.read("t")).kind, "read");
});

test("changes after a version of an earlier era are rejected: the table must be read again", async () => {
    const { answers, store, newEras } = createStore();
    await store.read("t");
    answers.watch = { kind: "changes", changes: [], version: 5, era: 2 };
    assert.equal((await store.watch("t", 5, 0)).kind, "historyGone");
    assert.equal(newEras(), 1);
});

test("a write with an expected version of an earlier era has an unknown result, unless it conflicts", async () => {
    const { answers, store, write } = createStore();
    await store.read("t");
    answers.write = { kind: "written", version: 6, era: 2 };
    assert.equal((await write()).kind, "unknown");
    answers.write = { kind: "conflict", rows: [], era: 3 };
    assert.equal((await write()).kind, "conflict");
});
