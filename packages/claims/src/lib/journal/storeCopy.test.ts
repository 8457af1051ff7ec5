import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { claimOf, JournalSite, request } from "./testing/JournalSite.js";

/**
 * Guards against a request that runs twice: the store is restored from a copy that lacks the newest segment, and its
 * owner writes the next segment after the gap. Another owner reads only up to the gap and would claim the key of the
 * lost segment for another runner.
 */
test("claims that a restored copy of the store lacks are written again before any new claim", async () => {
    const site = new JournalSite();
    const owner = site.owner({ pageSize: 1 });
    await site.wait(owner.acquire(request("old")));
    const restore = site.table.saveCopy();
    const lost = claimOf(await site.wait(owner.acquire(request("lost"))));
    await site.wait(owner.acquire(request("lost, too")));
    restore();
    assert.ok((await site.wait(owner.acquire(request("new")))).isOk);
    const other = site.owner();
    const runner = { target: "b", incarnation: "1" };
    const repeat = claimOf(await site.wait(other.acquire(request("lost", { runner }))));
    assert.deepEqual([repeat.id, repeat.created], [lost.id, false]);
    assert.equal(claimOf(await site.wait(other.acquire(request("new", { runner })))).created, false);
});

test("a lost claim is not written again if another owner has claimed its key since the restore", async () => {
    const site = new JournalSite();
    const owner = site.owner();
    await site.wait(owner.acquire(request("old")));
    const restore = site.table.saveCopy();
    await site.wait(owner.acquire(request("lost")));
    await site.wait(owner.acquire(request("lost, too")));
    restore();
    const runner = { target: "b", incarnation: "1" };
    const present = claimOf(await site.wait(site.owner().acquire(request("lost", { runner }))));
    assert.ok((await site.wait(owner.acquire(request("new")))).isOk);
    const repeat = claimOf(await site.wait(owner.acquire(request("lost"))));
    assert.equal(repeat.id, present.id);
    for (const key of ["new", "lost, too"]) {
        assert.equal(claimOf(await site.wait(site.owner().acquire(request(key, { runner })))).created, false, key);
    }
});

test("an owner notices a segment of another owner in the place of one that a copy of the store lacks", async () => {
    const site = new JournalSite();
    const owner = site.owner();
    await site.wait(owner.acquire(request("old")));
    const restore = site.table.saveCopy();
    await site.wait(owner.acquire(request("lost")));
    restore();
    const runner = { target: "b", incarnation: "1" };
    const present = claimOf(await site.wait(site.owner().acquire(request("other", { runner }))));
    assert.equal(claimOf(await site.wait(owner.acquire(request("other")))).id, present.id);
});

// The owner that wrote the claim is stopped or idle, and the caller's retry reaches an owner that has never read it.
test("a claim that a copy of the store lacks is granted to another runner by no owner", async () => {
    const site = new JournalSite();
    const owner = site.owner();
    await site.wait(owner.acquire(request("old")));
    const restore = site.table.saveCopy();
    claimOf(await site.wait(owner.acquire(request("lost"))));
    restore();
    const runner = { target: "b", incarnation: "1" };
    const repeat = await site.wait(site.owner().acquire(request("lost", { runner })));
    assert.notEqual(repeat.unwrapOr(undefined)?.created, true);
});

test("no claim is lost when the store is restored from copies at any moment and the owner writes again", async () => {
    for (let seed = 1; seed <= 20; seed++) {
        const site = new JournalSite();
        const random = seededRandom(seed);
        const owner = site.owner({
            pageSize: 1 + random.below(4),
            archiveAfter: 3 + random.below(20),
            maxBatch: 1 + random.below(3),
        });
        const granted = new Map<string, string>();
        let restore: (() => void) | undefined;
        for (let step = 0; step < 60; step++) {
            const key = `k${random.below(40)}`;
            const claim = claimOf(await site.wait(owner.acquire(request(key))));
            assert.equal(granted.get(key) ?? claim.id, claim.id, `seed ${seed}`);
            granted.set(key, claim.id);
            if (random.below(5) === 0) {
                const moved = { target: "c", incarnation: `${step}` };
                granted.set(key, claimOf(await site.wait(owner.move(claim, request(key, { runner: moved })))).id);
            }
            if (random.below(6) === 0) {
                restore = site.table.saveCopy();
            }
            else if (random.below(6) === 0) {
                restore?.();
                restore = undefined;
            }
        }
        await site.wait(owner.acquire(request("last")));
        const other = site.owner();
        const runner = { target: "b", incarnation: "1" };
        for (const [key, id] of granted) {
            assert.equal(
                claimOf(await site.wait(other.acquire(request(key, { runner })))).id,
                id,
                `seed ${seed}, ${key}`,
            );
        }
    }
});
