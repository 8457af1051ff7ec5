import { headKey, ResourceStore, RevisionState, StoreLog } from "@waxwingspar/config";
import { MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock, platformCodes, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Lease } from "../leases/Lease.js";
import { fenceKey } from "../leases/leaseRow.js";
import { PlacementStore } from "./PlacementStore.js";

const duty = "orders/a";

async function setUp() {
    const clock = new ManualClock();
    const table = new MemoryTableStore({ clock });
    const log = new StoreLog(table);
    const resources = new ResourceStore({ log, state: new RevisionState(), clock, random: seededRandom(1) });
    const target = {
        host: "127.0.0.1",
        port: 1,
        dataCentre: "a",
        region: "local",
        accelerator: { kind: "generic", memory: 10, speed: 1 },
        link: { bandwidth: 1, latency: 0 },
        holds: [],
        slots: 1,
        checksFence: false,
    };
    const model = {
        layers: 2,
        versions: ["v1"],
        current: "v1",
        layerBytes: 1,
        activationBytes: 1,
        replicas: 1,
        firstTokenBound: 1,
        tokenBound: 1,
        contextTokens: 1,
    };
    const changes = [{ kind: "target" as const, name: "t", spec: target }, {
        kind: "model" as const,
        name: "m",
        spec: model,
    }];
    const accepted = await resources.apply(changes, { changeId: "set-up" });
    assert.ok(accepted.isOk, JSON.stringify(accepted));
    const lease = new Lease({ store: table, clock, duty, holder: "p", incarnation: "1" });
    await lease.poll();
    const guard = {
        key: fenceKey(duty),
        version: (await table.get(fenceKey(duty))).unwrapOr(undefined as never).version,
    };
    return { clock, table, guard, lease, placements: new PlacementStore(resources, table) };
}

const change = {
    name: "m.a.0",
    resourceVersion: 0,
    spec: { model: "m", version: "v1", stages: [{ target: "t", first: 0, last: 1 }], ready: false },
};

test("a placement is written under the guard, and a repeat under its id gives the same revision", async () => {
    const { guard, lease, placements } = await setUp();
    const before = (await placements.readRevision()).unwrapOr(-1);
    const written = await placements.writePlacement(change, guard, "c1");
    assert.deepEqual(written.unwrapOr(-1), before + 1);
    assert.deepEqual((await placements.writePlacement(change, guard, "c1")).unwrapOr(-1), before + 1);
    assert.deepEqual((await placements.readRevision()).unwrapOr(-1), before + 1);
    const repeated = await placements.writePlacement(change, guard, "c2");
    assert.equal(repeated.isErr && repeated.error.code.retry, "no");
    await lease.poll();
    const ready = { ...change, resourceVersion: before + 1, spec: { ...change.spec, ready: true } };
    assert.ok((await placements.writePlacement(ready, guard, "c3")).isOk, "a renewal does not break the guard");
});

test("changes by the old holder fail after a takeover", async () => {
    const { clock, table, guard, lease, placements } = await setUp();
    await lease.release();
    const next = new Lease({ store: table, clock, duty, holder: "q", incarnation: "1" });
    await next.poll();
    assert.equal(next.fence, 2);
    const before = (await placements.readRevision()).unwrapOr(-1);
    const written = placements.writePlacement(change, guard, "c1");
    await clock.advanceAsync(20_000, 200);
    assert.equal((await written).isErr, true);
    assert.equal((await placements.readRevision()).unwrapOr(-1), before);
});

test("a stale read of the revision is detected", async () => {
    const { table, guard, placements } = await setUp();
    const row = await table.get(headKey);
    const old = { get: async () => row, commit: table.commit.bind(table), findCommit: table.findCommit.bind(table) };
    const stale = new PlacementStore(undefined as never, old as never);
    assert.ok((await stale.readRevision()).isOk);
    await placements.writePlacement(change, guard, "c1");
    const noticed = await stale.readRevision();
    assert.equal(noticed.isErr && noticed.error.code, platformCodes.conditionFailed);
});
