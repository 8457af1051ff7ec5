import { MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock, requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { decodeClaim } from "./claimId.js";
import { type ClaimRequest } from "./Claims.js";
import { TableClaims } from "./TableClaims.js";

function request(target: string, digest = "d"): ClaimRequest {
    const runner = { target, incarnation: "1" };
    return { route: "records", organisation: "ports", key: "k", digest, runner, retention: 1000 };
}

function setUp() {
    const clock = new ManualClock();
    const store = new MemoryTableStore({ clock });
    return { clock, store, claims: new TableClaims(store, clock) };
}

test("two concurrent duplicates get the same claim", async () => {
    const { claims } = setUp();
    const outcomes = await Promise.all([claims.acquire(request("a")), claims.acquire(request("b"))]);
    const granted = outcomes.map(outcome => outcome.unwrapOr(undefined));
    assert.equal(granted[0]?.id, granted[1]?.id);
    assert.deepEqual(granted.map(claim => claim?.created).sort(), [false, true]);
    const other = await claims.acquire(request("a", "another"));
    assert.ok(other.isErr && other.error.code === requestCodes.keyReused);
});

test("a claim whose write response is lost stays with its runner", async () => {
    const { store, claims } = setUp();
    store.faults.set({ losesAfter: 1 });
    assert.ok((await claims.acquire(request("a"))).isOk);
    assert.equal((await claims.acquire(request("b"))).unwrapOr(undefined)?.runner.target, "a");
});

test("a claim is moved once, and an outdated claim cannot be moved", async () => {
    const { claims } = setUp();
    const first = (await claims.acquire(request("a"))).unwrapOr(undefined);
    assert.ok(first);
    const outcomes = await Promise.all([claims.move(first, request("b")), claims.move(first, request("c"))]);
    assert.equal(outcomes.filter(outcome => outcome.isOk).length, 1);
    const back = (await claims.acquire(request("a"))).unwrapOr(undefined);
    assert.equal(decodeClaim(back?.id ?? "")?.generation, 2);
    assert.ok((await claims.move(first, request("d"))).isErr);
});

test("an acknowledged claim that a restored copy of the store lacks is not granted to another runner", async () => {
    const { store, claims } = setUp();
    const restore = store.saveCopy();
    assert.ok((await claims.acquire(request("a"))).isOk);
    restore();
    const repeat = (await claims.acquire(request("b"))).unwrapOr(undefined);
    assert.notEqual(repeat?.created, true);
});

test("a moved claim does not return to its first runner when the store is restored from a copy", async () => {
    const { store, claims } = setUp();
    const first = (await claims.acquire(request("a"))).unwrapOr(undefined);
    assert.ok(first);
    const restore = store.saveCopy();
    const moved = (await claims.move(first, request("b"))).unwrapOr(undefined);
    restore();
    assert.ok((await claims.move(first, request("c"))).isErr);
    const repeat = (await claims.acquire(request("d"))).unwrapOr(undefined);
    assert.equal(repeat?.id, moved?.id);
});

test("a lost claim is not written again after its retention", async () => {
    const { store, clock, claims } = setUp();
    const restore = store.saveCopy();
    assert.ok((await claims.acquire(request("a"))).isOk);
    restore();
    clock.advance(1_001);
    assert.equal((await claims.acquire(request("b"))).unwrapOr(undefined)?.created, true);
});

test("nothing is granted while the store is down", async () => {
    const { store, claims } = setUp();
    store.faults.set({ down: true });
    const outcome = await claims.acquire(request("a"));
    assert.ok(outcome.isErr && outcome.error.code === requestCodes.claimUnavailable);
});
