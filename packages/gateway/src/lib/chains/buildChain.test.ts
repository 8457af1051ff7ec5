import assert from "node:assert/strict";
import { test } from "node:test";
import { testEngine, testTarget } from "../testing/fixtures.js";
import { buildChain } from "./buildChain.js";

test("runs every layer once and in order, over ranges that overlap", () => {
    const chain = buildChain("x", [
        testTarget("t1", "small", { first: 0, end: 50 }),
        testTarget("t2", "small", { first: 30, end: 80 }),
    ], testEngine);
    const ranges = chain?.hops.map(({ layers }) => layers) ?? [];
    assert.equal(ranges[0]?.first, 0);
    assert.equal(ranges[0]?.end, ranges[1]?.first);
    assert.equal(ranges[1]?.end, 80);
});

test("gives overlapping layers to the faster target", () => {
    const chain = buildChain("x", [
        testTarget("t1", "large", { first: 0, end: 50 }),
        testTarget("t2", "small", { first: 30, end: 80 }),
    ], testEngine);
    assert.deepEqual(chain?.hops[0]?.layers, { first: 0, end: 50 });
});

test("there is no chain when no target holds a layer", () => {
    const targets = [
        testTarget("t1", "small", { first: 0, end: 40 }),
        testTarget("t2", "small", { first: 41, end: 80 }),
    ];
    assert.equal(buildChain("x", targets, testEngine), undefined);
});

test("a target that holds all layers is a chain of one hop", () => {
    const chain = buildChain("x", [testTarget("t1", "large", { first: 0, end: 80 })], testEngine);
    assert.deepEqual(chain?.hops.map(({ targetId }) => targetId), ["t1"]);
});

test("a standby replaces a lost target", () => {
    const targets = [
        testTarget("t1", "small", { first: 0, end: 40 }),
        testTarget("t2", "small", { first: 40, end: 80 }),
        testTarget("t3", "small", { first: 40, end: 80 }),
    ];
    const [, second] = buildChain("x", targets, testEngine)?.hops ?? [];
    const rest = targets.filter(({ id }) => id !== second?.targetId);
    assert.ok(buildChain("x", rest, testEngine) !== undefined);
});

test("layers that a data centre lacks are run in another one, with the fewest hops between them", () => {
    const targets = [
        testTarget("t1", "small", { first: 0, end: 40 }, "x"),
        testTarget("t2", "small", { first: 48, end: 80 }, "x"),
        testTarget("t3", "small", { first: 13, end: 48 }, "y"),
        testTarget("t4", "small", { first: 48, end: 80 }, "y"),
    ];
    const chain = buildChain("x", targets, testEngine);
    assert.deepEqual(chain?.hops.map(({ targetId }) => targetId), ["t1", "t3", "t4"]);
    assert.equal(chain.crossings, 1);
});

test("a chain begins in the requested data centre", () => {
    const targets = [
        testTarget("t1", "small", { first: 0, end: 40 }, "x"),
        testTarget("t2", "small", { first: 40, end: 80 }, "x"),
        testTarget("t3", "small", { first: 0, end: 60 }, "y"),
    ];
    assert.equal(buildChain("y", targets, testEngine)?.hops[0]?.targetId, "t3");
    assert.equal(buildChain("x", targets, testEngine)?.crossings, 0);
    assert.equal(buildChain("z", targets, testEngine), undefined);
});

test("a target that is short of memory runs only the layers that no other target holds", () => {
    const chain = buildChain("x", [
        testTarget("t1", "large", { first: 0, end: 28 }),
        testTarget("t2", "large", { first: 28, end: 56 }),
        testTarget("t5", "large", { first: 56, end: 70 }),
        testTarget("t3", "small", { first: 70, end: 80 }),
        testTarget("t4", "small", { first: 70, end: 75 }),
    ], testEngine);
    assert.deepEqual(chain?.hops.map(({ targetId }) => targetId), ["t1", "t2", "t5", "t4", "t3"]);
    assert.ok(chain.room > 80);
});
