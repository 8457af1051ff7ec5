import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { claimOf, request } from "./journal/testing/JournalSite.js";
import { ClaimSite } from "./testing/ClaimSite.js";

/** Simulates calls to any of three processes while the store is restored from copies and claims reach runners late. */
async function runWithCopies(seed: number): Promise<readonly number[]> {
    const site = new ClaimSite();
    const random = seededRandom(seed);
    const processes = [site.process(), site.process(), site.process()];
    let restore = site.store.saveCopy();
    for (let step = 0; step < 80; step++) {
        const process = processes[random.below(processes.length)] ?? site.process();
        const runner = { target: `t${random.below(3)}`, incarnation: "1" };
        const call = request(`k${random.below(10)}`, { runner });
        site.clock.advance(1 + random.below(20));
        let claim = (await process.acquire(call)).unwrapOr(undefined);
        if (random.below(6) === 0) {
            restore = site.store.saveCopy();
        }
        else if (random.below(6) === 0) {
            restore();
        }
        for (let attempt = 0; claim !== undefined && attempt < 2; attempt++) {
            const isRefused = random.below(4) === 0
                ? site.runners.refuse(claim)
                : site.runners.run(claim) === "refused";
            const moved = { ...call, runner: { target: `t${random.below(3)}`, incarnation: "1" } };
            claim = isRefused ? (await process.move(claim, moved)).unwrapOr(undefined) : undefined;
        }
        if (random.below(10) === 0) {
            const victim = random.below(processes.length);
            site.kill(processes[victim] ?? process);
            processes[victim] = site.process();
        }
    }
    return [...site.runners.runs.values()];
}

const another = { target: "b", incarnation: "1" };

/**
 * Guards against a request that runs twice: the store acknowledges a claim and is then restored from a copy that lacks
 * it. The caller's retry goes to a process that has never seen the claim, reads an empty row and would grant the key to
 * another runner.
 */
test("a claim that a copy of the store lacks is granted to another runner by no process", async () => {
    const site = new ClaimSite();
    const first = site.process();
    claimOf(await first.acquire(request("old")));
    const restore = site.store.saveCopy();
    claimOf(await first.acquire(request("lost")));
    restore();
    const repeat = await site.process().acquire(request("lost", { runner: another }));
    assert.notEqual(repeat.unwrapOr(undefined)?.created, true);
});

test("no request runs twice when the store is restored from copies, whatever process is called", async () => {
    const first = Number(process.env["RECLAIM_FIRST"] ?? 1);
    const count = Number(process.env["RECLAIM_SEEDS"] ?? 30);
    for (let seed = first; seed < first + count; seed++) {
        const runs = await runWithCopies(seed);
        assert.deepEqual(runs.filter(times => times > 1), [], `seed ${seed}`);
        assert.ok(runs.length > 0, `seed ${seed}`);
    }
});

// The restored row names the first runner. That runner refuses, which would allow a second move past the current
// runner.
test("a move that a restored copy of the store lacks is not repeated by another process", async () => {
    const site = new ClaimSite();
    const first = site.process();
    const claim = claimOf(await first.acquire(request("moved")));
    const restore = site.store.saveCopy();
    const moved = claimOf(await first.move(claim, request("moved", { runner: another })));
    restore();
    const other = site.process();
    const found = await other.acquire(request("moved"));
    assert.notEqual(found.unwrapOr(moved).id, claim.id);
});
