import { ManualClock, type Random, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AcceptBursts } from "./AcceptBursts.js";
import { CallerPresence } from "./CallerPresence.js";
import { type ReceivedRequest } from "./CallerServer.js";
import { RequestIntake } from "./RequestIntake.js";

interface Crowd {
    readonly request: ReceivedRequest;
    readonly presence: CallerPresence;
    readonly number: number;
}

/** An intake on a loop whose turns a test ends, with a cost for each request that is begun or refused. */
function createIntake({ beginCost = 1, refusalCost = 1, off = [] as string[] } = {}) {
    const clock = new ManualClock();
    let due: (() => void)[] = [];
    const state = { inputAge: 0, isAccepting: false };
    const held: (() => void)[] = [];
    const begun: number[] = [];
    const refused: number[] = [];
    const left: number[] = [];
    const numberOf = (request: ReceivedRequest) => (request as unknown as { readonly number: number; }).number;
    const intake = new RequestIntake({
        clock,
        loop: {
            get inputAge() {
                return state.inputAge;
            },
        },
        bursts: {
            get isActive() {
                return state.isAccepting;
            },
            whenOver: callback => void held.push(callback),
        },
        isOn: mechanism => !off.includes(mechanism),
        onRequest: request => {
            assert.ok(!request.presence.hasLeft, "begun for a caller that had left");
            clock.advance(beginCost);
            begun.push(numberOf(request));
        },
        onOverload: request => {
            clock.advance(refusalCost);
            refused.push(numberOf(request));
        },
        onLeft: request => left.push(numberOf(request)),
        afterInput: callback => void due.push(callback),
    });
    let count = 0;
    return {
        clock,
        state,
        begun,
        refused,
        left,
        arrive: (): Crowd => {
            const presence = new CallerPresence();
            const number = count++;
            const request = { presence, number } as unknown as ReceivedRequest;
            intake.take(request);
            return { request, presence, number };
        },
        endTurn: () => {
            const callbacks = [...state.isAccepting ? [] : held.splice(0), ...due];
            due = [];
            callbacks.forEach(callback => callback());
        },
        get isIdle() {
            return due.length === 0 && held.length === 0;
        },
    };
}

const countTo = (end: number) => Array.from({ length: end }, (_, index) => index);

test("an idle process begins a request at once", () => {
    const { begun, arrive } = createIntake();
    arrive();
    assert.deepEqual(begun, [0]);
});

test("a crowd is begun in turns that leave time for other input, the newest first", () => {
    const { begun, arrive, endTurn } = createIntake();
    countTo(35).forEach(arrive);
    endTurn();
    assert.equal(begun.length, 10);
    endTurn();
    assert.equal(begun.length, 20);
    assert.deepEqual(begun.slice(10, 13), [34, 33, 32]);
    endTurn();
    assert.equal(begun.length, 30);
    endTurn();
    assert.deepEqual(begun.toSorted((a, b) => a - b), countTo(35));
});

test("what was read late is begun only after a further turn, and not for callers that left", () => {
    const { begun, left, state, arrive, endTurn } = createIntake();
    state.inputAge = 600;
    const crowd = countTo(4).map(arrive);
    endTurn();
    assert.deepEqual(begun, []);
    crowd.slice(0, 3).forEach(({ presence }) => presence.leave());
    endTurn();
    assert.deepEqual(begun, [3]);
    assert.deepEqual(left, [0, 1, 2]);
});

test("nothing is begun while connections are accepted", () => {
    const { begun, state, arrive, endTurn } = createIntake();
    state.isAccepting = true;
    arrive();
    endTurn();
    assert.deepEqual(begun, []);
    state.isAccepting = false;
    endTurn();
    assert.deepEqual(begun, [0]);
});

test("requests are begun though every turn accepts a connection", () => {
    const due: (() => void)[] = [];
    const loop = { afterInput: (callback: () => void) => void due.push(callback) };
    const bursts = new AcceptBursts(loop);
    const clock = new ManualClock();
    let begun = 0;
    const intake = new RequestIntake({
        ...loop,
        clock,
        loop: { inputAge: 0 },
        bursts,
        isOn: () => true,
        onRequest: () => {
            begun++;
            clock.advance(1);
        },
        onOverload: () => undefined,
        onLeft: () => undefined,
    });
    for (let turn = 0; turn < 1_000; turn++) {
        bursts.noteConnection();
        intake.take({ presence: new CallerPresence() } as unknown as ReceivedRequest);
        due.splice(0).forEach(callback => callback());
    }
    // Ten milliseconds after each burst of 64 connections.
    assert.ok(begun >= 10 * Math.floor(1_000 / 64), `${begun} begun`);
});

test("a crowd that passes is not refused", () => {
    const { begun, refused, arrive, endTurn } = createIntake();
    countTo(300).forEach(arrive);
    countTo(40).forEach(endTurn);
    assert.equal(refused.length, 0);
    assert.equal(begun.length, 300);
});

test("in a lasting overload, callers that cannot be served in time are told so, in a part of each turn", () => {
    const { begun, refused, clock, arrive, endTurn } = createIntake();
    for (let turn = 0; turn < 200; turn++) {
        countTo(14).forEach(arrive);
        clock.advance(10);
        const before = refused.length;
        endTurn();
        assert.ok(refused.length - before <= 2, "refusals of one turn");
    }
    assert.ok(refused.length > 100);
    assert.ok(begun.length >= 200 * 10, "as many are begun as without refusals");
});

test("each request is begun, refused or dropped once, whatever the interleaving", () => {
    for (let seed = 1; seed <= 60; seed++) {
        const random = seededRandom(seed);
        const beginCost = random.next() * 8;
        const site = createIntake({ beginCost, off: random.next() < 0.3 ? ["newest-first"] : [] });
        const present = new Set<Crowd>();
        for (let turn = 0; turn < 300; turn++) {
            playTurn(site, present, random, beginCost);
        }
        site.state.isAccepting = false;
        while (!site.isIdle) {
            site.endTurn();
        }
        const { begun, refused, left } = site;
        const all = [...begun, ...refused, ...left].sort((a, b) => a - b);
        assert.deepEqual(all, countTo(all.length), `seed ${seed}`);
    }
});

function playTurn(
    site: ReturnType<typeof createIntake>,
    present: Set<Crowd>,
    random: Random,
    beginCost: number,
): void {
    site.state.inputAge = random.next() < 0.2 ? random.next() * 1_500 : 0;
    site.state.isAccepting = random.next() < 0.3;
    site.clock.advance(random.next() * 40);
    countTo(Math.floor(random.next() ** 3 * 12)).forEach(() => present.add(site.arrive()));
    for (const caller of present) {
        if (random.next() < 0.1) {
            caller.presence.leave();
            present.delete(caller);
        }
    }
    const before = site.begun.length;
    site.endTurn();
    assert.ok((site.begun.length - before - 1) * beginCost <= 10, "a turn ends soon");
}
