import { ManualClock, seededRandom } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotQueue, type SlotQueueOptions } from "./SlotQueue.js";
import { type SlotDecision, type SlotRequest } from "./SlotRequest.js";

/** A queue for heads with the given free slots, and the decisions by request. */
function createQueue(free: Record<string, number>, options: Partial<SlotQueueOptions> = {}) {
    const clock = new ManualClock();
    const queue = new SlotQueue({
        clock,
        random: seededRandom(1),
        freeSlots: head => free[head] ?? 0,
        ...options,
    });
    const decisions: (SlotDecision & { readonly id: string; })[] = [];
    const offer = (id: string, parts: Partial<SlotRequest> = {}) => {
        const request: SlotRequest = {
            id,
            heads: Object.keys(free),
            rank: 1,
            organisation: "o",
            kind: "k",
            precedence: "waiting",
            maxHold: 100,
            timeLeft: 20_000,
            digest: id,
            ...parts,
        };
        queue.offer(request, decision => {
            decisions.push({ id, ...decision });
            if (decision.kind === "granted") {
                free[decision.head]!--;
            }
        });
    };
    const release = (head: string, count = 1) => {
        free[head]! += count;
        queue.noteFreed(count);
        queue.update();
    };
    const granted = () => decisions.filter(({ kind }) => kind === "granted").map(({ id }) => id);
    return { clock, queue, decisions, offer, release, granted };
}

test("a free slot is granted at once, on the preferred head", () => {
    const { decisions, offer } = createQueue({ a: 1, b: 1 });
    ["1", "2", "3"].forEach(id => offer(id));
    assert.deepEqual(decisions, [
        { id: "1", kind: "granted", head: "a", held: 0 },
        { id: "2", kind: "granted", head: "b", held: 0 },
    ]);
});

test("running requests go first, then ranks, organisations by weight, and arrivals", () => {
    const weights: Record<string, number> = { heavy: 2, light: 1 };
    const { offer, release, granted } = createQueue({ a: 0 }, { weight: name => weights[name]! });
    ["l1", "l2", "l3"].forEach(id => offer(id, { organisation: "light" }));
    ["h1", "h2", "h3", "h4"].forEach(id => offer(id, { organisation: "heavy" }));
    offer("urgent", { rank: 0, organisation: "light" });
    offer("running", { rank: 2, organisation: "light", precedence: "running" });
    release("a", 9);
    assert.deepEqual(granted().slice(0, 2), ["running", "urgent"]);
    const heavy = granted().slice(2, 8).filter(id => id.startsWith("h"));
    assert.deepEqual(heavy, ["h1", "h2", "h3", "h4"]);
});

test("a request whose heads are full does not stop others", () => {
    const { offer, release, granted } = createQueue({ a: 0, b: 0 });
    offer("1", { heads: ["a"], rank: 0 });
    offer("2", { heads: ["a"] });
    offer("3", { heads: ["b"] });
    release("b");
    release("a");
    assert.deepEqual(granted(), ["3", "1"]);
});

test("with an unknown rate a request is held, but never beyond its time", () => {
    const { clock, queue, decisions, offer } = createQueue({ a: 0 });
    offer("1", { maxHold: 100 });
    offer("2", { maxHold: 40 });
    offer("3", { maxHold: 100, timeLeft: 20 });
    assert.equal(queue.waiting, 3);
    clock.advance(200);
    assert.deepEqual(decisions.map(({ id, held }) => [id, held]), [["3", 20], ["2", 40], ["1", 100]]);
});

test("a request that cannot be served in time is refused at once", () => {
    const { clock, queue, decisions, offer, release } = createQueue({ a: 0 });
    for (let i = 0; i < 100; i++) {
        offer(`${i}`, { maxHold: 15 });
        clock.advance(10);
        release("a");
    }
    assert.equal(queue.waiting, 0);
    decisions.length = 0;
    // A slot becomes free every 10 ms.
    ["first", "second", "third"].forEach(id => offer(id, { maxHold: 25 }));
    assert.deepEqual(decisions.map(({ id, kind, held }) => [id, kind, held]), [["third", "refused", 0]]);
});

test("a request is refused at once while more urgent ones take all slots", () => {
    const { clock, decisions, offer, release } = createQueue({ a: 0 });
    for (let i = 0; i < 100; i++) {
        offer(`${i}`, { rank: 0, maxHold: 15 });
        clock.advance(10);
        release("a");
    }
    offer("less urgent", { maxHold: 25 });
    offer("urgent", { rank: 0, maxHold: 25 });
    assert.equal(decisions.at(-1)?.id, "less urgent");
    assert.equal(decisions.at(-1)?.kind, "refused");
});

test("a more urgent request displaces the longest queue of the least urgent rank", () => {
    const { decisions, offer } = createQueue({ a: 0 }, { maxWaiting: 4 });
    offer("small", { rank: 2, organisation: "small" });
    ["1", "2", "3"].forEach(id => offer(id, { rank: 2, organisation: "big" }));
    offer("urgent", { rank: 0 });
    offer("least", { rank: 3 });
    const refused = decisions.map(decision => [decision.id, decision.kind === "refused" && decision.reason]);
    assert.deepEqual(refused, [["3", "displaced"], ["least", "full"]]);
});

test("a request that others overtook is told so", () => {
    const { clock, decisions, offer, release } = createQueue({ a: 0 });
    offer("1", { rank: 2, maxHold: 50 });
    offer("2", { rank: 0 });
    release("a");
    clock.advance(60);
    const last = decisions.at(-1)!;
    assert.equal(last.id, "1");
    assert.equal(last.kind === "refused" && last.reason, "displaced");
});

test("a running request exceeds the room of a head after a while", () => {
    const { clock, queue, decisions, offer } = createQueue({ a: 0 }, { runningSlots: () => 1 });
    offer("new", { rank: 0, maxHold: 1_200 });
    offer("running", { precedence: "running", maxHold: 1_200 });
    clock.advance(149);
    assert.equal(queue.waiting, 2);
    clock.advance(1);
    assert.deepEqual(decisions, [{ id: "running", kind: "granted", head: "a", held: 150 }]);
});

test("a caller that returns when told goes before new ones, one that repeats at once goes last", () => {
    const { clock, decisions, offer, release, granted } = createQueue({ a: 0 });
    offer("told", { maxHold: 0 });
    const [refused] = decisions;
    clock.advance(refused?.kind === "refused" ? refused.retryAfter : 0);
    offer("early", { maxHold: 0 });
    offer("early again", { digest: "early" });
    offer("new");
    offer("less urgent", { rank: 2 });
    offer("back", { digest: "told" });
    release("a", 4);
    assert.deepEqual(granted(), ["back", "new", "early again", "less urgent"]);
});

test("a cancelled request gets no decision", () => {
    const { clock, queue, decisions, offer, release } = createQueue({ a: 0 });
    offer("1");
    queue.cancel("1");
    release("a");
    clock.advance(1_000);
    assert.deepEqual([decisions, queue.waiting], [[], 0]);
});

test("each request gets one decision in time, none is held beside a free slot, and no head exceeds its room", () => {
    const step = fc.record({
        delay: fc.nat(30),
        rank: fc.nat(2),
        organisation: fc.constantFrom("x", "y"),
        heads: fc.subarray(["a", "b"], { minLength: 1 }),
        isRunning: fc.boolean(),
        maxHold: fc.nat(80),
        digest: fc.constantFrom("1", "2", "3", "4"),
        isRelease: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 120 }), steps => {
            const free: Record<string, number> = { a: 2, b: 2 };
            const { clock, queue, decisions, offer, release } = createQueue(free, { maxWaiting: 6 });
            steps.forEach(({ delay, isRelease, isRunning, ...request }, index) => {
                clock.advance(delay);
                offer(`${index}`, { ...request, precedence: isRunning ? "running" : "waiting" });
                const head = request.heads[0]!;
                if (isRelease && free[head]! < 2) {
                    release(head);
                }
                assert.ok(free["a"]! >= 0 && free["b"]! >= 0);
                const decided = new Set(decisions.map(({ id }) => id));
                const held = steps.slice(0, index + 1).filter((_, each) => !decided.has(`${each}`));
                assert.ok(held.every(({ heads }) => heads.every(each => free[each] === 0)));
            });
            clock.advance(80);
            assert.equal(queue.waiting, 0);
            assert.equal(new Set(decisions.map(({ id }) => id)).size, steps.length);
            assert.equal(decisions.length, steps.length);
            decisions.forEach(({ id, held }) => assert.ok(held <= steps[Number(id)]!.maxHold));
        }),
        { numRuns: 200 },
    );
});
