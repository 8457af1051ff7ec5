import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { EraStore } from "../store/EraStore.js";
import { type StoreFailure } from "../store/Store.js";
import { StoreEras } from "../store/StoreEras.js";
import { silentLogs } from "../testing/fixtures.js";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { type CrashRecord } from "./CrashRecord.js";
import { CrashRecords } from "./CrashRecords.js";
import { type RetrialVerdict } from "./Retrial.js";

const anyRecord = ({ crashes }: CrashRecord) => crashes >= 0;
const unlessExcused = ({ excused }: CrashRecord) => excused === undefined;
const hour = 3_600_000;

function createSite() {
    const clock = new ManualClock(1_000_000);
    const store = new SimulatedStore(clock);
    const createRecords = () => new CrashRecords({ clock, store, logger: silentLogs().requests });
    const started = async () => {
        const table = createRecords();
        table.start();
        await clock.advanceAsync(50);
        return table;
    };
    const grant = async (table: CrashRecords, isSuspect = anyRecord): Promise<RetrialVerdict> => {
        const verdict = table.grant("a", { isSuspect });
        await clock.advanceAsync(2_000);
        return verdict;
    };
    return { clock, store, createRecords, started, grant };
}

test("a request gets two runs over all gateways, and none after that", async () => {
    const { createRecords, grant } = createSite();
    const [first, second] = [createRecords(), createRecords()];
    assert.equal(await grant(first), "granted");
    assert.equal(await grant(second), "granted");
    assert.equal(await grant(first), "condemned");
    assert.equal(await grant(second), "condemned");
    assert.equal(first.isCondemned("a"), true);
});

test("gateways that request runs at the same time are granted two in total", async () => {
    const { clock, createRecords } = createSite();
    const verdicts = Promise.all([1, 2, 3, 4].map(() => createRecords().grant("a", { isSuspect: anyRecord })));
    await clock.advanceAsync(200);
    assert.deepEqual((await verdicts).sort(), ["condemned", "condemned", "granted", "granted"]);
});

test("a gateway reads existing records at its start", async () => {
    const { createRecords, started, grant } = createSite();
    const old = createRecords();
    await grant(old);
    await grant(old);
    assert.equal((await started()).isCondemned("a"), true);
});

test("while the store is unavailable, no run is granted", async () => {
    const { store, createRecords, grant } = createSite();
    const table = createRecords();
    store.setDown(true);
    assert.equal(await grant(table), "unavailable");
    store.setDown(false);
    assert.equal(await grant(table), "granted");
});

test("a grant whose reply is lost still uses up a run", async () => {
    const { clock, store, createRecords, grant } = createSite();
    const lossy = new CrashRecords({
        clock,
        store: {
            read: () => store.read(),
            watch: (name, after, wait) => store.watch(name, after, wait),
            write: async change => {
                await store.write(change);
                const lost: StoreFailure = { kind: "unknown", reason: "timeout" };
                return lost;
            },
        },
        logger: silentLogs().requests,
    });
    assert.equal(await grant(lossy), "unavailable");
    const other = createRecords();
    assert.equal(await grant(other), "granted");
    assert.equal(await grant(other), "condemned");
});

test("a request that ran without a crash is excused at all gateways", async () => {
    const { clock, createRecords, grant } = createSite();
    const [first, second] = [createRecords(), createRecords()];
    await grant(first);
    void first.excuse("a", 3);
    await clock.advanceAsync(100);
    assert.equal(await grant(second, unlessExcused), "excused");
});

test("a record expires after an hour, and the next gateway that starts removes it", async () => {
    const { clock, store, createRecords, started, grant } = createSite();
    const table = createRecords();
    await grant(table);
    await grant(table);
    clock.advance(hour);
    assert.equal(table.isCondemned("a"), false);
    const next = await started();
    assert.equal(next.get("a"), undefined);
    const left = store.read();
    await clock.advanceAsync(50);
    const result = await left;
    assert.deepEqual(result.kind === "read" && result.rows, []);
});

test("crashes that several gateways record at the same time add up", async () => {
    const { clock, createRecords } = createSite();
    const tables = [1, 2, 3].map(createRecords);
    tables.forEach(table => void table.addCrash("a"));
    await clock.advanceAsync(200);
    assert.equal(Math.max(...tables.map(table => table.get("a")?.crashes ?? 0)), 3);
});

test("crashes that could not be written are written once the store is available again", async () => {
    const { clock, store, createRecords, started } = createSite();
    const table = createRecords();
    store.setDown(true);
    void table.addCrash("a");
    void table.addCrash("a");
    await clock.advanceAsync(5_000);
    store.setDown(false);
    await clock.advanceAsync(5_000);
    assert.equal((await started()).get("a")?.crashes, 2);
});

test("during a series of crashes, the table is read once in two seconds", async () => {
    const { clock, store, createRecords } = createSite();
    const table = createRecords();
    table.start();
    await clock.advanceAsync(100);
    store.put("a", { crashes: 3, retrials: 0, writtenAt: clock.now() });
    [1, 2, 3].forEach(() => table.refresh());
    await clock.advanceAsync(1_000);
    assert.equal(table.get("a"), undefined);
    await clock.advanceAsync(1_000);
    assert.equal(table.get("a")?.crashes, 3);
});

test("retrials that a restored copy of the store lacks are written again by gateways that know of them", async () => {
    const { clock, store, grant } = createSite();
    const createFollower = () => {
        const eras = new StoreEras();
        const follower = new EraStore({
            store,
            eras,
            observation: { logs: silentLogs(), metrics: new GatewayMetrics(new MetricRegistry(clock)) },
        });
        return new CrashRecords({ clock, store: follower, eras, logger: silentLogs().requests });
    };
    const [first, second] = [createFollower(), createFollower()];
    first.start();
    second.start();
    await clock.advanceAsync(100);
    store.saveCopy();
    assert.equal(await grant(first), "granted");
    assert.equal(await grant(first), "granted");
    store.restoreCopy();
    store.put("other", {});
    store.put("a", { crashes: 1, retrials: 0, writtenAt: clock.now() });
    first.refresh();
    await clock.advanceAsync(5_000);
    assert.equal(await grant(second), "condemned");
});

test("a row of another format is ignored", async () => {
    const { store, started } = createSite();
    store.put("a", { retrials: "many" });
    store.put("b", undefined);
    const table = await started();
    assert.equal(table.get("a"), undefined);
});
