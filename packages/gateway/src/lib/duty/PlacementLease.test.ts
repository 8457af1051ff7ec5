import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock, type Random, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { addSums } from "../peers/GroupSums.js";
import { EraStore } from "../store/EraStore.js";
import { type Store } from "../store/Store.js";
import { StoreEras } from "../store/StoreEras.js";
import { silentLogs } from "../testing/fixtures.js";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { PlacementLease } from "./PlacementLease.js";

type Watched = Awaited<ReturnType<Store["watch"]>>;
type Read = Awaited<ReturnType<Store["read"]>>;

function createLease(process = "b", random?: Random) {
    const clock = new ManualClock();
    let reads = 0;
    let resolveWatch: (changes: Watched) => void = () => undefined;
    const simulated = { answer: { kind: "read", rows: [], version: 1 } as Read, others: addSums([]) };
    const lease = new PlacementLease({
        clock,
        random,
        process,
        incarnation: "1",
        logger: silentLogs().duty,
        peers: {
            get others() {
                return simulated.others;
            },
        },
        store: {
            read: () => {
                reads++;
                return Promise.resolve(simulated.answer);
            },
            watch: () =>
                new Promise(resolve => {
                    resolveWatch = resolve;
                }),
            write: () => Promise.resolve({ kind: "written", version: 2 }),
        },
    });
    lease.start();
    const supersede = () => {
        const row = { key: "placement", value: { holder: "z", incarnation: "9", term: 9 }, version: 9 };
        resolveWatch({ kind: "changes", changes: [{ key: row.key, row }], version: 9 });
    };
    return { clock, lease, simulated, reads: () => reads, supersede };
}

test("the first candidate acquires a lease that no process holds", async () => {
    const { clock, lease, simulated } = createLease();
    simulated.others = { ...addSums([]), members: 3, firstCandidate: "c" };
    await clock.advanceAsync(1_500);
    assert.equal(lease.isHeld, true);
});

test("a process leaves the lease to its holder and to a preceding candidate", async () => {
    for (const others of [{ dutyTerm: 4 }, { firstCandidate: "a" }]) {
        const { clock, simulated, reads } = createLease();
        simulated.others = { ...addSums([]), members: 3, ...others };
        await clock.advanceAsync(3_000);
        assert.equal(reads(), 0);
    }
});

test("a process that lost the lease waits for heartbeats for a second before it tries again", async () => {
    const { clock, lease, simulated, reads, supersede } = createLease();
    await clock.advanceAsync(1_500);
    assert.equal(lease.isHeld, true);
    supersede();
    await clock.advanceAsync(100);
    assert.equal(lease.isHeld, false);
    const before = reads();
    await clock.advanceAsync(800);
    assert.equal(reads(), before);
    simulated.others = { ...addSums([]), members: 3, dutyTerm: 9 };
    await clock.advanceAsync(2_000);
    assert.equal(reads(), before);
});

test("a process that cannot reach the store is no candidate for three seconds", async () => {
    const { clock, lease, simulated } = createLease();
    simulated.answer = { kind: "unknown", reason: "timeout" };
    assert.equal(lease.mayAcquire, true);
    await clock.advanceAsync(1_300);
    assert.equal(lease.mayAcquire, false);
    simulated.others = { ...addSums([]), members: 3, firstCandidate: "a" };
    await clock.advanceAsync(3_200);
    assert.equal(lease.mayAcquire, true);
});

/** Creates a lease holder with a store that can be restored from a copy. */
async function createHolder() {
    const clock = new ManualClock(1_000_000);
    const table = new SimulatedStore(clock);
    const eras = new StoreEras();
    const logs = silentLogs();
    const observation = { logs, metrics: new GatewayMetrics(new MetricRegistry(clock)) };
    const store = new EraStore({ store: table, eras, observation });
    const lease = new PlacementLease({
        clock,
        store,
        eras,
        process: "b",
        incarnation: "1",
        peers: { others: addSums([]) },
        logger: logs.duty,
    });
    table.saveCopy();
    table.put("placement", { holder: "a", incarnation: "0", term: 6 });
    lease.start();
    await clock.advanceAsync(1_500);
    assert.equal(lease.term, 7);
    return { clock, table, lease };
}

test("a holder whose row the copy lacks writes it again under its term", async () => {
    const { clock, table, lease } = await createHolder();
    table.restoreCopy();
    await clock.advanceAsync(5_000);
    assert.deepEqual(table.value("placement"), { holder: "b", incarnation: "1", term: 7 });
    assert.equal(lease.isHeld, true);
});

test("after a restore, a holder yields to one that acquired the lease with a higher term", async () => {
    const { clock, table, lease } = await createHolder();
    table.restoreCopy();
    table.put("placement", { holder: "c", incarnation: "1", term: 8 });
    await clock.advanceAsync(3_000);
    assert.equal(lease.term, undefined);
});

test("after a restore, a process that acquires the lease uses a higher term than any it has seen", async () => {
    const { clock, table, lease } = await createHolder();
    table.put("placement", { holder: "c", incarnation: "1", term: 8 });
    await clock.advanceAsync(100);
    assert.equal(lease.term, undefined);
    table.restoreCopy();
    await clock.advanceAsync(8_000);
    assert.equal(lease.term, 9);
});

// Nobody is a candidate while nobody reaches the store, so that every gateway took itself for the preferred one.
test("gateways that cannot reach the store attempt to acquire the lease in turn, and one does soon after its return", async () => {
    const members = 23;
    const random = seededRandom(1_000_003);
    const sites = Array.from({ length: members }, (_, index) => createLease(`p${index}`, random));
    for (const { simulated } of sites) {
        simulated.answer = { kind: "unavailable", reason: "status 503" };
        simulated.others = { ...addSums([]), members: members - 1 };
    }
    const advance = (duration: number) => Promise.all(sites.map(({ clock }) => clock.advanceAsync(duration)));
    const countReads = () => sites.reduce((sum, { reads }) => sum + reads(), 0);
    await advance(2_000);
    const before = countReads();
    await advance(8_000);
    const attempts = countReads() - before;
    assert.ok(attempts <= members * 8_000 / 1_300, `${attempts} attempts`);
    sites.forEach(({ simulated }) => simulated.answer = { kind: "read", rows: [], version: 1 });
    await advance(600);
    assert.ok(sites.some(({ lease }) => lease.isHeld));
});
