import { StoreClient } from "@waxwingspar/stores";
import { type Outcome, requestCodes, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { type Claim } from "../Claims.js";
import { segmentKey } from "./partitionRows.js";
import { claimOf, JournalSite, request } from "./testing/JournalSite.js";

function codeOf(outcome: Outcome<unknown> | undefined): number | undefined {
    return outcome?.isErr ? outcome.error.code.number : undefined;
}

test("concurrent claims share a write, and the write rate is not exceeded", async () => {
    const site = new JournalSite();
    const journal = site.owner({}, 10);
    const calls: Promise<Outcome<Claim>>[] = [];
    const start = site.clock.now();
    for (let turn = 0; turn < 100; turn++) {
        calls.push(...[0, 1, 2, 3].map(index => journal.acquire(request(`${turn}.${index}`))));
        await site.clock.advanceAsync(10, 5);
    }
    const outcomes = await site.wait(Promise.all(calls));
    assert.ok(outcomes.every(outcome => outcome.isOk));
    const seconds = (site.clock.now() - start) / 1000;
    assert.ok(site.table.faults.arrivals.write <= 10 * seconds + 1);
});

test("a claim after an idle period is written without delay", async () => {
    const site = new JournalSite();
    const journal = site.owner({}, 1);
    await site.wait(journal.acquire(request("1")));
    await site.clock.advanceAsync(1000, 100);
    const start = site.clock.now();
    await site.wait(journal.acquire(request("2")));
    assert.ok(site.clock.now() - start <= 5);
});

test("a key with another digest is refused, both while the first call waits and after it was recorded", async () => {
    const site = new JournalSite();
    const journal = site.owner();
    const calls = [journal.acquire(request("k")), journal.acquire(request("k", { digest: "other" }))];
    const [first, second] = await site.wait(Promise.all(calls));
    assert.ok(first?.isOk);
    assert.equal(codeOf(second), requestCodes.keyReused.number);
    const third = await journal.acquire(request("k", { digest: "other" }));
    assert.equal(codeOf(third), requestCodes.keyReused.number);
});

test("an outage refuses new claims at once and still answers duplicates", async () => {
    const site = new JournalSite();
    const journal = site.owner();
    const known = request("known", { retention: 86_400_000 });
    await site.wait(journal.acquire(known));
    site.table.faults.set({ down: true });
    await site.wait(journal.acquire(request("1")));
    for (let minute = 0; minute < 60; minute++) {
        const calls = Array.from({ length: 50 }, (_, index) => journal.acquire(request(`${minute}.${index}`)));
        const outcomes = await site.wait(Promise.all(calls));
        assert.ok(outcomes.every(outcome => outcome.isErr && (outcome.error.retryAfter ?? 0) > 0));
        assert.ok((await journal.acquire(known)).isOk);
        await site.clock.advanceAsync(60_000, 10_000);
    }
    site.table.faults.set({ down: false });
    assert.ok((await site.wait(journal.acquire(request("2")))).isOk);
});

test("claims wait for the write budget of the process, and none that can be recorded in time is refused", async () => {
    const site = new JournalSite();
    const { clock, table } = site;
    const client = new StoreClient({
        store: table,
        clock,
        random: seededRandom(1),
        readsPerSecond: 100,
        writesPerSecond: 4,
        maxWait: 20,
    });
    const journal = site.owner({ table: client });
    await site.wait(journal.load());
    const calls: Promise<Outcome<Claim>>[] = [];
    for (let turn = 0; turn < 50; turn++) {
        calls.push(journal.acquire(request(`${turn}`)));
        await clock.advanceAsync(100, 5);
    }
    const outcomes = await site.wait(Promise.all(calls));
    assert.ok(outcomes.every(outcome => outcome.isOk));
    assert.ok(table.faults.arrivals.write <= 25, `${table.faults.arrivals.write} writes`);
});

test("a silent store ends calls in time, and what was written is found later", async () => {
    const site = new JournalSite();
    const journal = site.owner();
    site.table.faults.set({ answerDelay: 5000 });
    const start = site.clock.now();
    const outcome = await site.wait(journal.acquire(request("k")));
    assert.equal(codeOf(outcome), requestCodes.claimUnavailable.number);
    assert.ok(site.clock.now() - start <= 1010);
    site.table.faults.set({ answerDelay: 0 });
    await site.clock.advanceAsync(20_000, 50);
    const again = claimOf(
        await site.wait(journal.acquire(request("k", { runner: { target: "b", incarnation: "1" } }))),
    );
    const other = claimOf(await site.wait(site.owner().acquire(request("k"))));
    assert.equal(again.id, other.id);
});

test("a write whose answer is lost grants the claim to the call that made it", async () => {
    const site = new JournalSite();
    const journal = site.owner();
    site.table.faults.set({ losesAfter: 1 });
    const claim = claimOf(await site.wait(journal.acquire(request("k"))));
    assert.equal(claim.created, true);
    assert.equal((await site.rows("claims/0/")).length, 1);
});

test("an owner that was paused cannot write a number that was used and deleted", async () => {
    const site = new JournalSite();
    const paused = site.owner();
    await paused.load();
    const active = site.owner({ archiveAfter: 1 });
    for (const key of ["k", "l", "m"]) {
        await site.wait(active.acquire(request(key)));
        await site.clock.advanceAsync(100, 5);
    }
    assert.deepEqual(await site.rows(segmentKey(0, 1)), []);
    const late = request("k", { runner: { target: "b", incarnation: "1" } });
    assert.equal(claimOf(await site.wait(paused.acquire(late))).runner.target, "a");
});

test("a claim is kept for its retention across any number of owners, and dropped afterwards", async () => {
    const site = new JournalSite();
    const options = { archiveAfter: 2 };
    let journal = site.owner(options);
    await site.wait(journal.acquire(request("k", { retention: 60_000 })));
    for (let turn = 0; turn < 11; turn++) {
        await site.clock.advanceAsync(5000, 100);
        journal = site.owner(options);
        await site.wait(journal.acquire(request(`filler ${turn}`, { retention: 1000 })));
    }
    const runner = { target: "b", incarnation: "1" };
    assert.equal(claimOf(await site.wait(journal.acquire(request("k", { runner })))).runner.target, "a");
    await site.clock.advanceAsync(60_001, 1000);
    const renewed = claimOf(await site.wait(journal.acquire(request("k", { runner }))));
    assert.equal(renewed.runner.target, "b");
});

test("old segments and expired archives are deleted, and memory use stays bounded", async () => {
    const site = new JournalSite();
    const journal = site.owner({ archiveAfter: 4 });
    for (let turn = 0; turn < 100; turn++) {
        await site.wait(journal.acquire(request(`${turn}`, { retention: 20_000 })));
        await site.clock.advanceAsync(1000, 20);
    }
    assert.ok((await site.rows("claims/0/")).length <= 6);
    const objects = (await site.objects.list("claims/0/")).unwrapOr([]);
    const archives = objects.filter(name => !name.endsWith(".index"));
    assert.ok(archives.length <= 8, `${archives.length} archives`);
    assert.deepEqual(objects.filter(name => name.endsWith(".index")), archives.map(name => `${name}.index`));
    assert.ok(journal.size <= 60, `${journal.size} claims`);
});

test("a duplicate of an archived claim is answered from the archive, or refused if that cannot be read", async () => {
    const site = new JournalSite();
    const journal = site.owner({ archiveAfter: 2 });
    const ids: string[] = [];
    for (let turn = 0; turn < 20; turn++) {
        ids.push(claimOf(await site.wait(journal.acquire(request(`${turn}`)))).id);
        await site.clock.advanceAsync(50, 5);
    }
    for (const owner of [journal, site.owner()]) {
        site.objects.faults.set({ down: false });
        await site.wait(owner.load());
        site.objects.faults.set({ down: true });
        const refused = await site.wait(owner.acquire(request("3")));
        assert.equal(codeOf(refused), requestCodes.claimUnavailable.number);
        site.objects.faults.set({ down: false });
        for (const [turn, id] of ids.entries()) {
            assert.equal(claimOf(await site.wait(owner.acquire(request(`${turn}`)))).id, id);
        }
        const other = await site.wait(owner.acquire(request("5", { digest: "other" })));
        assert.equal(codeOf(other), requestCodes.keyReused.number);
    }
});

test("an archived claim that is requested while a write waits for its permit is not claimed again", async () => {
    const site = new JournalSite();
    const journal = site.owner({ archiveAfter: 2 }, 10);
    for (let turn = 0; turn < 10; turn++) {
        await site.wait(journal.acquire(request(`${turn}`)));
        await site.clock.advanceAsync(300, 5);
    }
    const calls = ["x", "y"].map(key => journal.acquire(request(key)));
    await site.clock.advanceAsync(30, 5);
    calls.push(journal.acquire(request("z")));
    await site.clock.advanceAsync(30, 5);
    const late = journal.acquire(request("1", { runner: { target: "b", incarnation: "1" } }));
    assert.equal(claimOf(await site.wait(late)).runner.target, "a");
    await site.wait(Promise.all(calls));
});

test("an owner that skips archived segments drops claims that those segments may have changed", async () => {
    const site = new JournalSite();
    const slow = site.owner({ archiveAfter: 100 });
    const first = claimOf(await site.wait(slow.acquire(request("k"))));
    const active = site.owner({ archiveAfter: 2 });
    const toB = request("k", { runner: { target: "b", incarnation: "1" } });
    const moved = claimOf(await site.wait(active.move(first, toB)));
    for (let turn = 0; turn < 10; turn++) {
        await site.wait(active.acquire(request(`${turn}`)));
        await site.clock.advanceAsync(100, 5);
    }
    await site.wait(slow.acquire(request("another")));
    assert.equal(claimOf(await site.wait(slow.acquire(request("k")))).id, moved.id);
});

test("an owner that is delayed while archiving does not undo the archive of another owner", async () => {
    const site = new JournalSite();
    const waits = [0, 0, 0, 0, 500];
    const delayed = site.owner({ archiveAfter: 2, pace: () => waits.shift() ?? 0 });
    await site.wait(delayed.acquire(request("1")));
    await site.wait(delayed.acquire(request("2")));
    const other = site.owner({ archiveAfter: 2 });
    const claim = claimOf(await site.wait(other.acquire(request("3"))));
    await site.clock.advanceAsync(100, 5);
    await site.wait(delayed.acquire(request("4")));
    await site.clock.advanceAsync(1000, 5);
    const runner = { target: "b", incarnation: "1" };
    for (const owner of [site.owner(), delayed, other]) {
        assert.equal(claimOf(await site.wait(owner.acquire(request("3", { runner })))).id, claim.id);
    }
});

test("archiving that fails part-way loses no claim", async () => {
    const site = new JournalSite();
    const journal = site.owner({ archiveAfter: 2 });
    for (let turn = 0; turn < 40; turn++) {
        site.objects.faults.set({ losesBefore: turn % 3 === 0 ? 1 : 0, losesAfter: turn % 4 === 0 ? 1 : 0 });
        await site.wait(journal.acquire(request(`${turn}`)));
        site.table.faults.set({ losesAfter: turn % 5 === 0 ? 1 : 0, losesBefore: turn % 7 === 0 ? 1 : 0 });
        await site.clock.advanceAsync(50, 5);
    }
    const next = site.owner();
    await site.wait(next.load());
    assert.equal(next.size, 40);
});

test("a repeated move returns the same claim, and a move of an outdated claim fails", async () => {
    const site = new JournalSite();
    const journal = site.owner();
    const first = claimOf(await site.wait(journal.acquire(request("k"))));
    const toB = request("k", { runner: { target: "b", incarnation: "1" } });
    const moved = claimOf(await site.wait(journal.move(first, toB)));
    assert.equal(claimOf(await site.wait(site.owner().move(first, toB))).id, moved.id);
    const toC = request("k", { runner: { target: "c", incarnation: "1" } });
    assert.equal(codeOf(await site.wait(journal.move(first, toC))), requestCodes.claimUnavailable.number);
    const back = claimOf(await site.wait(journal.move(moved, request("k"))));
    assert.notEqual(back.id, first.id);
});

test("a claim is refused if the partition is full or the runner's name is too long", async () => {
    const site = new JournalSite();
    const journal = site.owner({ maxClaims: 2, maxPending: 1 });
    const [first, second] = await site.wait(Promise.all(["1", "2"].map(key => journal.acquire(request(key)))));
    assert.ok(first?.isOk);
    assert.equal(codeOf(second), requestCodes.claimUnavailable.number);
    await site.wait(journal.acquire(request("2")));
    assert.equal(codeOf(await site.wait(journal.acquire(request("3")))), requestCodes.claimUnavailable.number);
    const runner = { target: "x".repeat(300), incarnation: "1" };
    assert.equal(codeOf(await journal.acquire(request("4", { runner }))), requestCodes.malformed.number);
    await site.clock.advanceAsync(120_000, 10_000);
    await site.wait(journal.acquire(request("5")));
    assert.ok((await site.wait(journal.acquire(request("5")))).isOk);
});

test("a row that cannot be parsed makes claims fail without an exception", async () => {
    const site = new JournalSite();
    const write = { key: segmentKey(0, 1), value: { unexpected: true } };
    await site.table.commit({ writeId: "x", conditions: [], writes: [write] });
    const outcome = await site.wait(site.owner().acquire(request("k")));
    assert.equal(codeOf(outcome), requestCodes.claimUnavailable.number);
});
