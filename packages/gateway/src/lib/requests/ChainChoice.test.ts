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
        faultyUntil: 0,
    };
}

/** Creates a choice among chains a, b and c, preferred in this order. */
function createChoice({ running = [], allowed = ["a", "b", "c"], isRetry = false, denied = [] }: {
    readonly running?: readonly string[];
    readonly allowed?: readonly string[];
    readonly isRetry?: boolean;
    readonly denied?: readonly string[];
} = {}) {
    const loads = ["a", "b", "c"].map(loadOf);
    const first = (excluded: ReadonlySet<string>) => loads.find(({ chain }) => !excluded.has(chain.key));
    const last = (excluded: ReadonlySet<string>) => loads.findLast(({ chain }) => !excluded.has(chain.key));
    return new ChainChoice({
        service: { choose: first, chooseHealthy: first, chooseWithRoom: first, chooseToResume: last },
        limits: { isRetry: isRetry, maySendTo: target => allowed.some(key => target === `head of ${key}`) },
        mayPass: target => !denied.some(key => target === `head of ${key}`),
        running: () => running,
    });
}

test("chooses no chain whose first target has used up its limit", () => {
    assert.equal(createChoice({ denied: ["a"] }).chooseNext()?.chain.key, "b");
    assert.equal(createChoice({ denied: ["a", "b", "c"] }).chooseNext(), undefined);
});

test("chooses the best chain that has not failed the request", () => {
    const choice = createChoice();
    assert.equal(choice.chooseNext()?.chain.key, "a");
    choice.noteFailed("a", false);
    assert.equal(choice.chooseNext()?.chain.key, "b");
    choice.reset();
    assert.equal(choice.chooseNext()?.chain.key, "a");
});

test("a retry uses the chain that suits a resumed stream best", () => {
    assert.equal(createChoice({ isRetry: true }).chooseNext()?.chain.key, "c");
});

test("a chain that only lost a connection is used again when no other is available", () => {
    const choice = createChoice();
    choice.noteFailed("a", true);
    choice.noteFailed("b", false);
    choice.noteFailed("c", false);
    assert.equal(choice.chooseNext()?.chain.key, "a");
    assert.equal(choice.chooseAlternative(), undefined);
});

test("excludes chains that the request is running on or that its route does not allow", () => {
    const choice = createChoice({ running: ["a"], allowed: ["a", "c"] });
    assert.equal(choice.chooseNext()?.chain.key, "c");
    assert.equal(choice.chooseAlternative()?.chain.key, "c");
    assert.equal(choice.chooseAlternativeWithRoom()?.chain.key, "c");
    choice.noteFailed("c", false);
    assert.equal(choice.chooseNext(), undefined);
});
