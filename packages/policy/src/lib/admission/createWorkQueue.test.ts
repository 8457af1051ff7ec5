import { type Failure, ManualClock, requestCodes } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createWorkQueue } from "./createWorkQueue.js";
import { type WorkItem } from "./WorkQueue.js";
import { type WorkQueueOptions } from "./WorkQueueOptions.js";

/** A queue on a manual clock whose started and refused items are recorded. */
function setUp(options: Partial<WorkQueueOptions> = {}) {
    const clock = new ManualClock();
    const queue = createWorkQueue({ clock, slots: 2, initialHold: 100, caution: 0, reserve: 0, ...options });
    const started: string[] = [];
    const refused = new Map<string, Failure>();
    const offer = (id: string, item: Partial<WorkItem> = {}) =>
        queue.offer({
            id,
            organisation: "depots",
            priority: 5,
            timeLeft: 10_000,
            startBound: 540,
            cost: 100,
            start: () => started.push(id),
            refuse: failure => refused.set(id, failure),
            ...item,
        });
    return { clock, queue, started, refused, offer };
}

test("an item that cannot meet its first-token bound is refused before it runs", () => {
    const { offer, started } = setUp({ initialHold: 2000 });
    offer("a");
    offer("b");
    const outcome = offer("c");
    assert.ok(outcome.isErr);
    assert.equal(outcome.error.code, requestCodes.overloaded);
    assert.ok(outcome.error.retryAfter! >= 2000 / 2 - 540, `retry after ${outcome.error.retryAfter}`);
    assert.deepEqual(started, ["a", "b"]);
});

test("a queued item is refused once it can no longer meet its bound", () => {
    const { clock, queue, offer, started, refused } = setUp();
    offer("a");
    offer("b");
    offer("c", { startBound: 200 });
    clock.advance(200);
    assert.equal(refused.get("c")?.code, requestCodes.overloaded);
    assert.equal(queue.queued, 0);
    queue.finish("a", 200);
    assert.deepEqual(started, ["a", "b"]);
});

test("a queued item is refused at its deadline", () => {
    const { clock, offer, refused } = setUp();
    offer("a");
    offer("b");
    offer("c", { timeLeft: 150, startBound: 5000 });
    clock.advance(149);
    assert.equal(refused.size, 0);
    clock.advance(1);
    assert.equal(refused.get("c")?.code, requestCodes.deadlinePassed);
});

test("a cancelled item is removed immediately and never starts", () => {
    const { queue, offer, started, refused } = setUp();
    offer("a");
    offer("b");
    offer("c");
    assert.equal(queue.cancel("c"), true);
    assert.equal(queue.cancel("c"), false);
    queue.finish("a", 100);
    assert.deepEqual(started, ["a", "b"]);
    assert.equal(refused.size, 0);
});

test("items are served by priority, then by the earlier bound", () => {
    const { queue, offer, started } = setUp({ slots: 1 });
    offer("running");
    offer("late", { startBound: 500 });
    offer("early", { startBound: 400 });
    offer("urgent", { priority: 9 });
    ["running", "urgent", "early"].forEach(id => queue.finish(id, 100));
    assert.deepEqual(started, ["running", "urgent", "early", "late"]);
});

test("a full queue evicts an item of the organisation with the longest queue for a new organisation", () => {
    const { offer, refused } = setUp({ slots: 1, capacity: 3, initialHold: 10 });
    ["running", "a", "b", "c"].forEach(id => offer(id));
    assert.ok(offer("d").isErr);
    assert.ok(offer("other", { organisation: "hospitals" }).isOk);
    assert.equal(refused.size, 1);
    assert.equal([...refused.values()][0]!.code, requestCodes.overloaded);
});

test("closing the queue refuses queued and new items", () => {
    const { queue, offer, refused } = setUp();
    ["a", "b", "c"].forEach(id => offer(id));
    queue.close();
    assert.equal(refused.get("c")?.code, requestCodes.stopping);
    const outcome = offer("d");
    assert.ok(outcome.isErr && outcome.error.code === requestCodes.stopping);
});

test("a refusal by an organisation limit carries a retry delay", () => {
    const { clock, queue, offer } = setUp({ slots: 20, burstSeconds: 1 });
    queue.setShare("depots", 1, 2);
    queue.setShare("hospitals", 1, undefined, 1);
    assert.ok(offer("a").isOk && offer("b").isOk);
    const overRate = offer("c");
    assert.ok(overRate.isErr && overRate.error.code === requestCodes.limitReached);
    assert.equal(overRate.error.retryAfter, 500);
    clock.advance(500);
    assert.ok(offer("d").isOk);
    assert.ok(offer("e", { organisation: "hospitals" }).isOk);
    const overCount = offer("f", { organisation: "hospitals" });
    assert.ok(overCount.isErr && overCount.error.code === requestCodes.limitReached);
    queue.finish("e", 10);
    assert.ok(offer("g", { organisation: "hospitals" }).isOk);
});

/** Keeps every organisation backlogged and sums the slot time that each gets. */
function serve(weights: ReadonlyMap<string, number>, holds: ReadonlyMap<string, number>, rounds: number) {
    const clock = new ManualClock();
    const queue = createWorkQueue({ clock, slots: 4, initialHold: 50, reserve: 0 });
    const running: { id: string; organisation: string; due: number; }[] = [];
    const served = new Map<string, number>();
    let count = 0;
    const refill = (organisation: string) => {
        const id = `${organisation}-${count++}`;
        const start = () => {
            running.push({ id, organisation, due: clock.now() + holds.get(organisation)! });
            refill(organisation);
        };
        const bounds = { timeLeft: 1e9, startBound: 1e9 };
        queue.offer({ id, organisation, priority: 5, cost: 0, ...bounds, start, refuse: () => assert.fail() });
    };
    weights.forEach((weight, organisation) => {
        queue.setShare(organisation, weight);
        refill(organisation);
        refill(organisation);
    });
    for (let round = 0; round < rounds; round++) {
        running.sort((a, b) => a.due - b.due);
        const done = running.shift()!;
        clock.advance(done.due - clock.now());
        const hold = holds.get(done.organisation)!;
        served.set(done.organisation, (served.get(done.organisation) ?? 0) + hold);
        queue.finish(done.id, hold);
    }
    return served;
}

test("slot time is shared by weight within two items per slot", () => {
    const weight = fc.integer({ min: 1, max: 5 });
    const hold = fc.integer({ min: 10, max: 200 });
    const organisation = fc.record({ weight, hold });
    fc.assert(
        fc.property(fc.array(organisation, { minLength: 2, maxLength: 5 }), organisations => {
            const names = organisations.map((_, index) => `organisation-${index}`);
            const weights = new Map(names.map((name, index) => [name, organisations[index]!.weight]));
            const holds = new Map(names.map((name, index) => [name, organisations[index]!.hold]));
            const served = serve(weights, holds, 600);
            const shares = names.map(name => (served.get(name) ?? 0) / weights.get(name)!);
            // The duration of an item is known only at its end, so each of the four slots may be off by two items.
            const longest = Math.max(...names.map(name => holds.get(name)! / weights.get(name)!));
            const error = Math.max(...shares) - Math.min(...shares);
            assert.ok(error <= 2 * 4 * longest + 2 * 4 * 200, `shares ${shares.join(" ")}`);
        }),
        { numRuns: 50 },
    );
});

test("an unused share is lent to others and reclaimed at the next free slot", () => {
    const { queue, offer, started } = setUp({ slots: 4, initialHold: 100 });
    ["a", "b", "c", "d", "e", "f"].forEach(id => offer(id));
    assert.deepEqual(started, ["a", "b", "c", "d"]);
    offer("returning", { organisation: "hospitals" });
    queue.finish("a", 100);
    assert.equal(started.at(-1), "returning");
});

test("reserved slots stay free for organisations below their share", () => {
    const { offer, started } = setUp({ slots: 10, reserve: 0.2, initialHold: 100 });
    offer("first", { organisation: "hospitals" });
    for (let index = 0; index < 12; index++) {
        offer(`depots-${index}`);
    }
    assert.equal(started.length, 8);
    offer("second", { organisation: "hospitals" });
    assert.equal(started.at(-1), "second");
});

test("concurrency is reduced while token intervals exceed their bound, and restored afterwards", () => {
    const { queue, offer, started } = setUp({ slots: 10 });
    const fill = (prefix: string) => {
        for (let index = 0; index < 10; index++) {
            offer(`${prefix}${index}`, { startBound: 1e6, timeLeft: 1e6 });
        }
    };
    fill("a");
    const observe = (interval: number) => {
        for (let index = 0; index < 128; index++) {
            queue.observe(undefined, interval);
        }
    };
    observe(100);
    started.splice(0).forEach(id => queue.finish(id, 100));
    fill("b");
    assert.equal(queue.running, 9);
    observe(50);
    queue.finish("b0", 100);
    assert.equal(queue.running, 9);
    assert.equal(queue.queued, 0);
    fill("c");
    assert.equal(queue.running, 10);
});

test("a target admits work again after a slow period", () => {
    const { clock, queue, offer, started } = setUp({ slots: 4 });
    for (let index = 0; index < 40; index++) {
        offer(`slow-${index}`);
        queue.observe(5000, undefined);
        started.splice(0).forEach(id => queue.finish(id, 6000));
    }
    offer("one");
    assert.ok(offer("two").isErr);
    clock.advance(10_000);
    assert.ok(offer("three").isOk);
});

test("an initial estimate that is far too high is corrected quickly", () => {
    const { clock, queue, offer, started } = setUp({ slots: 10, initialTokenCost: 5 });
    let admitted = 0;
    for (let index = 0; index < 100; index++) {
        admitted += offer(`item-${index}`, { cost: 1000 }).isOk ? 1 : 0;
        clock.advance(100);
        for (const id of started.splice(0)) {
            queue.observe(100, undefined);
            queue.finish(id, 100);
        }
    }
    assert.ok(admitted >= 90, `${admitted} of 100 admitted`);
});
