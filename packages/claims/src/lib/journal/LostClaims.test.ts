import assert from "node:assert/strict";
import test from "node:test";
import { unknownDigest } from "../claimId.js";
import { type ClaimRecord } from "./ClaimRecord.js";
import { LostClaims } from "./LostClaims.js";

function record(keyHash: string, generation: number, target = "a"): ClaimRecord {
    return { keyHash, digest: "d", generation, runner: { target, incarnation: "1" }, expiry: 1_000 };
}

/** A partition state that holds some claims and names an archive, if any, for all other keys. */
function stateOf(held: readonly ClaimRecord[], archiveEnd?: number, now = 0) {
    return {
        time: { now: () => now },
        find: (keyHash: string) => held.find(claim => claim.keyHash === keyHash),
        findArchive: () => archiveEnd === undefined ? undefined : { name: "archive", last: archiveEnd, expiry: 1_000 },
    };
}

function lostClaims(...records: readonly ClaimRecord[]): LostClaims {
    const claims = new LostClaims();
    claims.add(records);
    return claims;
}

test("a lost claim is returned until the state holds it", () => {
    const claims = lostClaims(record("k", 5), record("l", 6));
    assert.deepEqual(claims.next(stateOf([]), 1), [record("k", 5)]);
    assert.deepEqual(claims.next(stateOf([record("k", 5)]), 1), [record("l", 6)]);
    assert.deepEqual(claims.next(stateOf([record("k", 5), record("l", 6)]), 1), []);
});

test("a moved claim is written again with its last runner", () => {
    const claims = lostClaims(record("k", 5), record("k", 7, "b"));
    assert.deepEqual(claims.next(stateOf([record("k", 5)]), 10), [record("k", 7, "b")]);
    assert.deepEqual(claims.next(stateOf([record("k", 3)]), 10), [record("k", 7, "b")]);
});

test("a claim that another owner granted after the restore prevails", () => {
    const claims = lostClaims(record("j", 4), record("k", 7));
    assert.deepEqual(claims.next(stateOf([record("j", 4), record("k", 6, "b")]), 10), []);
});

test("a granted claim replaces one that was written in its place", () => {
    const state = { ...stateOf([record("k", 5, "b")]), firstGeneration: 100 };
    assert.deepEqual(lostClaims(record("k", 5)).next(state, 10), [record("k", 5)]);
});

test("a claim that its runner has started prevails over the stored one", () => {
    const claims = new LostClaims();
    claims.addReports([{ ...record("k", 5), state: "ran" }, { ...record("k", 9, "c"), state: "granted" }]);
    const state = { ...stateOf([record("k", 7, "b")]), firstGeneration: 100 };
    assert.deepEqual(claims.next(state, 10), [record("k", 5)]);
    assert.deepEqual(claims.next({ ...state, firstGeneration: 6 }, 10), [], "granted after the restore");
});

test("a claim that only its runner reports is kept for a day, whatever its retention was", () => {
    const { keyHash, generation, runner } = record("k", 5);
    const claims = new LostClaims();
    claims.addReports([{ keyHash, generation, runner, state: "ran" }]);
    const [written] = claims.next(stateOf([]), 10);
    assert.deepEqual(written, { keyHash, generation, runner, digest: unknownDigest, expiry: 86_400_000 });
});

test("an expired claim is not written again", () => {
    assert.deepEqual(lostClaims(record("k", 5)).next(stateOf([], undefined, 1_001), 10), []);
});

test("an archive that ends before the claim's generation does not hold the claim", () => {
    assert.deepEqual(lostClaims(record("k", 5)).next(stateOf([], 4), 10), [record("k", 5)]);
    assert.deepEqual(lostClaims(record("k", 5)).next(stateOf([], 5), 10), []);
});
