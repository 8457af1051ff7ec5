import { MemoryObjectStore } from "@waxwingspar/stores";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeClaim, shortHash } from "../claimId.js";
import { type FinalClaims } from "./FinalClaims.js";
import { FinalClaimsStore } from "./FinalClaimsStore.js";

const runner = { target: "t/1", incarnation: "i1" };
const reply = { status: 201, headers: { "x-part": ["7", "8"] }, body: Buffer.from("done").toString("base64") };
const day = 86_400_000;

function claim(key: string, generation = 9): { id: string; runner: typeof runner; } {
    const keyHash = shortHash(key);
    const id = encodeClaim({ route: "records", organisation: "ports", keyHash, series: "p3", generation, runner });
    return { id, runner };
}

function finalClaims(clock: ManualClock, changes: Partial<FinalClaims> = {}): FinalClaims {
    return {
        version: 1,
        ...runner,
        until: clock.date().getTime() + day,
        forgotten: [["p3", 4]],
        claims: [
            { claim: claim("ran").id, end: "ran", reply },
            { claim: claim("large").id, end: "ran" },
            { claim: claim("broken").id, end: "interrupted" },
            { claim: claim("refused").id, end: "refused" },
        ],
        ...changes,
    };
}

function create(): { clock: ManualClock; objects: MemoryObjectStore; store: FinalClaimsStore; } {
    const clock = new ManualClock();
    const objects = new MemoryObjectStore({ clock });
    return { clock, objects, store: new FinalClaimsStore({ objects, clock }) };
}

test("the claims that a runner wrote at shutdown give the outcome of each claim", async () => {
    const { clock, objects, store } = create();
    assert.ok((await store.write(finalClaims(clock))).isOk);
    const kinds = async (...keys: string[]): Promise<string[]> =>
        Promise.all(keys.map(async key => (await store.find(claim(key))).kind));
    assert.deepEqual(await store.find(claim("ran")), { kind: "answered", reply });
    assert.deepEqual(await kinds("large", "broken", "refused", "absent"), ["unknown", "unknown", "notRun", "notRun"]);
    assert.equal(
        (await store.find(claim("forgotten", 4))).kind,
        "unknown",
        "absence proves nothing for an evicted generation",
    );
    assert.equal(objects.faults.arrivals.read, 2, "one listing of old objects and one read for all duplicates");
});

test("without an object, or with one of another runner, the outcome is unknown", async () => {
    const { clock, objects, store } = create();
    assert.equal((await store.find(claim("ran"))).kind, "unknown", "a killed runner writes no object");
    const other = finalClaims(clock, { incarnation: "i2" });
    for (const data of [JSON.stringify(other), "{", JSON.stringify({ ...finalClaims(clock), version: 2 })]) {
        await objects.put("claims/left/t%2F1/i1", Buffer.from(data));
        await clock.advanceAsync(2000, 100);
        assert.equal((await store.find(claim("absent"))).kind, "unknown");
    }
});

test("an unresponsive store is read once, with a timeout", async () => {
    const { clock, objects, store } = create();
    await store.write(finalClaims(clock));
    const before = objects.faults.arrivals.read;
    objects.faults.set({ delay: 60_000 });
    let found: string[] = [];
    void Promise.all([store.find(claim("ran")), store.find(claim("absent"))]).then(outcomes => {
        found = outcomes.map(({ kind }) => kind);
    });
    await clock.advanceAsync(1000, 100);
    assert.deepEqual(found, ["unknown", "unknown"]);
    assert.equal(objects.faults.arrivals.read - before, 1);
    objects.faults.set({ delay: 0 });
    await clock.advanceAsync(1000, 100);
    assert.equal(
        (await store.find(claim("ran"))).kind,
        "answered",
        "the object is read again once the cached absence has expired",
    );
});

test("the next runner of the target deletes expired objects", async () => {
    const { clock, objects, store } = create();
    await store.write(finalClaims(clock));
    await store.write(finalClaims(clock, { target: "other" }));
    await store.write(finalClaims(clock, { incarnation: "i2" }));
    assert.equal((await objects.list("claims/left/")).unwrapOr([]).length, 3);
    clock.advance(day + 1);
    await store.write(finalClaims(clock, { incarnation: "i3" }));
    const names = (await objects.list("claims/left/")).unwrapOr([]);
    assert.deepEqual(names, ["claims/left/other/i1", "claims/left/t%2F1/i3"]);
});
