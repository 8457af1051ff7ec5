import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Target } from "../directory/Target.js";
import { testEngine, testTarget } from "../testing/fixtures.js";
import { buildChain } from "./buildChain.js";
import { buildChains } from "./buildChains.js";
import { type Chain } from "./Chain.js";
import { cacheMemory, freeMemory } from "./memory.js";

function buildAll(targets: readonly Target[], previous?: readonly Chain[]): Chain[] {
    return buildChains("x", targets, testEngine, { previous });
}

function heads(chains: readonly Chain[]): (string | undefined)[] {
    return chains.map(({ hops }) => hops[0]?.targetId);
}

function keysOf(chains: readonly Chain[]): string[] {
    return chains.map(({ key }) => key);
}

/** The memory that chains use on each target, less what it has; in megabytes. */
function excessUse(targets: readonly Target[], chains: readonly Chain[]): number[] {
    return targets.map(target => {
        const uses = chains.flatMap(({ hops, room }) =>
            hops.flatMap(({ targetId, layers }) => targetId === target.id ? [room * (layers.end - layers.first)] : [])
        );
        const used = uses.reduce((sum, use) => sum + use, 0) * cacheMemory(testEngine);
        return used === 0 ? 0 : used - freeMemory(testEngine, target);
    });
}

const targetRanges = fc.record({
    kind: fc.constantFrom("large", "middle", "small"),
    first: fc.constantFrom(0, 0, 10, 20, 25, 40, 50, 60, 70),
    size: fc.integer({ min: 4, max: 40 }),
});
const sites = fc.array(targetRanges, { minLength: 2, maxLength: 30 }).map(ranges =>
    ranges.map(({ kind, first, size }, index) => {
        const largest = { large: 38, middle: 18, small: 11 }[kind] ?? 0;
        return testTarget(`t${index}`, kind, { first, end: Math.min(80, first + Math.min(size, largest)) });
    })
);
/** Random sites with a chain over large targets. */
const wholeSites = sites.map(targets => [
    ...targets,
    testTarget("t101", "large", { first: 0, end: 30 }),
    testTarget("t102", "large", { first: 30, end: 60 }),
    testTarget("t103", "large", { first: 60, end: 80 }),
]);

test("chains run every layer once and in order, begin at different targets and use no target twice", () => {
    fc.assert(
        fc.property(wholeSites, targets => {
            const chains = buildAll(targets);
            assert.ok(chains.length >= 1 && chains.length <= 6);
            assert.equal(new Set(heads(chains)).size, chains.length);
            for (const { hops } of chains) {
                assert.equal(new Set(hops.map(({ targetId }) => targetId)).size, hops.length);
                const bounds = hops.flatMap(({ layers }) => [layers.first, layers.end]);
                assert.deepEqual([bounds[0], bounds.at(-1)], [0, 80]);
                hops.slice(1).forEach(({ layers }, index) => assert.equal(layers.first, hops[index]?.layers.end));
            }
        }),
        { seed: 1 },
    );
});

test("the rooms of all chains over a target add up to at most what it has, also when chains are kept", () => {
    fc.assert(
        fc.property(wholeSites, fc.nat(), (targets, lost) => {
            const chains = buildAll(targets);
            assert.ok(excessUse(targets, chains).every(excess => excess < 1e-6));
            const left = targets.filter((_, index) => index !== lost % targets.length);
            assert.ok(excessUse(left, buildAll(left, chains)).every(excess => excess < 1e-6));
        }),
        { seed: 2 },
    );
});

test("the first chain is the one that a data centre with a single chain has", () => {
    fc.assert(
        fc.property(sites, sites, (targets, others) => {
            const [first] = buildAll(targets, buildAll(others));
            assert.deepEqual(first, buildChain("x", targets, testEngine));
        }),
        { seed: 4 },
    );
});

test("building again changes nothing", () => {
    fc.assert(
        fc.property(wholeSites, targets => {
            const chains = buildAll(targets);
            assert.deepEqual(keysOf(buildAll(targets, chains)), keysOf(chains));
        }),
        { seed: 3 },
    );
});

/** Two equal chains of large targets beside a first one over four smaller ranges. */
const pairs = [
    testTarget("t1", "large", { first: 0, end: 27 }),
    testTarget("t2", "large", { first: 27, end: 54 }),
    testTarget("t3", "large", { first: 54, end: 80 }),
    testTarget("t4", "large", { first: 0, end: 28 }),
    testTarget("t5", "large", { first: 28, end: 54 }),
    testTarget("t6", "large", { first: 54, end: 80 }),
    testTarget("t7", "large", { first: 0, end: 29 }),
];

test("a further chain stays when an equally good one becomes possible again", () => {
    const chains = buildAll(pairs);
    assert.ok(chains.length >= 2);
    const without = pairs.filter(({ id }) => id !== chains[1]?.hops[0]?.targetId);
    const replaced = buildAll(without, chains);
    const again = buildAll(pairs, replaced);
    assert.deepEqual(keysOf(again).slice(0, replaced.length), keysOf(replaced));
});

test("the loss of a target that several chains share leaves the chains beside it", () => {
    const targets = [
        ...pairs,
        testTarget("t8", "small", { first: 0, end: 6 }),
        testTarget("t9", "small", { first: 27, end: 34 }),
    ];
    const before = buildAll(targets);
    for (const lost of targets) {
        const after = buildAll(targets.filter(({ id }) => id !== lost.id), before);
        const taken = new Set([lost.id, ...after[0]?.hops.map(({ targetId }) => targetId) ?? []]);
        const unaffected = before.slice(1).filter(({ hops }) => hops.every(({ targetId }) => !taken.has(targetId)));
        const keys = keysOf(after);
        assert.ok(unaffected.every(({ key }) => keys.includes(key)), lost.id);
        assert.ok(after.every(({ hops }) => hops.every(({ targetId }) => targetId !== lost.id)));
    }
});

test("a further chain is neither much slower than the first nor for a few requests only", () => {
    const small = Array.from({ length: 12 }, (_, index) => {
        const first = Math.min(73, index * 7);
        return testTarget(`t${index + 20}`, "small", { first, end: first + 7 });
    });
    const first = pairs.slice(0, 3);
    assert.ok(buildAll(small).length === 1);
    assert.deepEqual(heads(buildAll([...first, ...small])).slice(1), []);
    const crowded = testTarget("t40", "large", { first: 0, end: 41 });
    assert.deepEqual(heads(buildAll([...first, crowded])).slice(1), []);
});
