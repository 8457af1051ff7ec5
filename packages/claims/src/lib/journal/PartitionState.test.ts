import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { ArchiveIndex } from "./ArchiveIndex.js";
import { type ClaimRecord } from "./ClaimRecord.js";
import { PartitionState } from "./PartitionState.js";

/** A key hash with a given first and last byte. Hashes with the same first byte share a fingerprint. */
function hash(first: number, last: number): string {
    return Buffer.from([first, 0, 0, 0, 0, 0, ...Array<number>(9).fill(0), last]).toString("base64url");
}

function record(keyHash: string, generation: number): ClaimRecord {
    return { keyHash, digest: "d", generation, runner: { target: "a", incarnation: "1" }, expiry: 1000 };
}

test("a fingerprint collision in a newer archive does not hide a key in an older one", () => {
    const wanted = hash(1, 1);
    const state = new PartitionState(new ManualClock(), "p0");
    const archives = [{ name: "old", last: 10, expiry: 1000 }, { name: "new", last: 20, expiry: 1000 }];
    const indexes = new Map([
        ["old", ArchiveIndex.of([wanted])],
        ["new", ArchiveIndex.of([hash(1, 2)])],
    ]);
    state.adopt({ first: 21, time: 0, archives, discarded: [] }, indexes);
    const newest = state.findArchive(wanted);
    assert.equal(newest?.name, "new");
    state.applyArchived(newest, wanted, undefined);
    const older = state.findArchive(wanted);
    assert.equal(older?.name, "old");
    state.applyArchived(older, wanted, record(wanted, 7));
    assert.equal(state.findArchive(wanted), undefined);
    assert.equal(state.find(wanted)?.generation, 7);
});

test("an archived claim is not applied once a newer archive may hold the key", () => {
    const wanted = hash(1, 1);
    const state = new PartitionState(new ManualClock(), "p0");
    const old = { name: "old", last: 10, expiry: 1000 };
    const index = ArchiveIndex.of([wanted]);
    state.adopt({ first: 11, time: 0, archives: [old], discarded: [] }, new Map([["old", index]]));
    const newer = { name: "new", last: 20, expiry: 1000 };
    state.adopt({ first: 21, time: 0, archives: [old, newer], discarded: [] }, new Map([["new", index]]));
    state.applyArchived(old, wanted, record(wanted, 7));
    assert.equal(state.find(wanted), undefined);
    assert.equal(state.findArchive(wanted)?.name, "new");
});
