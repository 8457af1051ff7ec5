import assert from "node:assert/strict";
import { test } from "node:test";
import { type ChainLoad } from "../chains/ChainRouter.js";
import { ChainChoice } from "./ChainChoice.js";

function loadOf(key: string): ChainLoad {
    const hops = [{ targetId: `head of ${key}`, startedAt: undefined, address: key, layers: { first: 0, end: 80 } }];
    return {
        chain: { key, dataCentre: key, hops, room: 1, crossings: 0, slowdown: 1 },
        inFlight: 0,
        streaming: 0,
        lastEventAt: 0,
        eventInterval: undefined,
        falseAlarms: 0,
        avoidedUntil: 0,
    };
}

/** Chains a, b and c, preferred in this order. */
function createChoice({ running = [], allowed = ["a", "b", "c"], isRepeat = false }: {
    readonly running?: readonly string[];
    readonly allowed?: readonly string[];
    readonly isRepeat?: boolean;
} = {}) {
    const loads = ["a", "b", "c"].map(loadOf);
    const first = (excluded: ReadonlySet<string>) => loads.find(({ chain }) => !excluded.has(chain.key));
    const last = (excluded: ReadonlySet<string>) => loads.findLast(({ chain }) => !excluded.has(chain.key));
    return new ChainChoice({
        service: { choose: first, chooseWell: first, chooseWithRoom: first, chooseToResume: last },
        limits: { isRepeat, maySendTo: target => allowed.some(key => target === `head of ${key}`) },
        running: () => running,
    });
}

test("the best chain that did not fail the request", () => {
    const choice = createChoice();
    assert.equal(choice.next()?.chain.key, "a");
    choice.noteFailed("a", false);
    assert.equal(choice.next()?.chain.key, "b");
    choice.forget();
    assert.equal(choice.next()?.chain.key, "a");
});

test("a repeat goes where a stream can best go on", () => {
    assert.equal(createChoice({ isRepeat: true }).next()?.chain.key, "c");
});

test("a chain that merely lost a connection is used again when no other is left", () => {
    const choice = createChoice();
    choice.noteFailed("a", true);
    choice.noteFailed("b", false);
    choice.noteFailed("c", false);
    assert.equal(choice.next()?.chain.key, "a");
    assert.equal(choice.another(), undefined);
});

test("none that the request runs on, and none that its route does not allow", () => {
    const choice = createChoice({ running: ["a"], allowed: ["a", "c"] });
    assert.equal(choice.next()?.chain.key, "c");
    assert.equal(choice.another()?.chain.key, "c");
    assert.equal(choice.anotherWithRoom()?.chain.key, "c");
    choice.noteFailed("c", false);
    assert.equal(choice.next(), undefined);
});
