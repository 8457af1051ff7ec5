import assert from "node:assert/strict";
import { test } from "node:test";
import { addSums, ageSums, sumsOf, truncateState, truncateSums, withoutMember } from "./GroupSums.js";
import { type PeerState } from "./PeerState.js";

const first: PeerState = {
    suspects: ["t1"],
    slowTargets: { t2: 3 },
    chainLoads: { t3: 5 },
    crashes: { r1: 1 },
    partCrashes: { p1: 5 },
    safeRuns: { p1: 400 },
    limits: { t6: { rate: 3, age: 20 }, t7: { rate: 5, age: 10 } },
    mayTakeDuty: true,
    dutyTerm: 2,
};
const second: PeerState = {
    suspects: ["t1", "t4"],
    slowTargets: { t2: 8 },
    chainLoads: { t3: 1 },
    crashes: { r1: 2, r2: 1 },
    partCrashes: { p1: 6 },
    safeRuns: { p1: 300, p2: 500 },
    limits: { t6: { age: 5 }, t7: { rate: 4, age: 30 } },
    mayTakeDuty: false,
};

test("sums add up loads, suspecting gateways and crashes, and take the largest slowdown", () => {
    assert.deepEqual(addSums([sumsOf("b", first), sumsOf("a", second)]), {
        members: 2,
        dutyTerm: 2,
        firstCandidate: "b",
        chainLoads: { t3: 6 },
        suspects: { t1: 2, t4: 1 },
        slowTargets: { t2: 8 },
        crashes: { r1: 3, r2: 1 },
        partCrashes: { p1: 7 },
        safeRuns: { p1: 300, p2: 500 },
        limits: { t6: { age: 5 }, t7: { rate: 5, age: 10 } },
    });
});

test("the first candidate is the first process by name that may take the duty", () => {
    const sums = ["c", "a", "b"].map(process => sumsOf(process, { ...first, mayTakeDuty: process !== "a" }));
    assert.equal(addSums(sums).firstCandidate, "b");
});

test("removing a member subtracts its requests and its suspicions", () => {
    const both = addSums([sumsOf("b", first), sumsOf("a", second)]);
    const rest = withoutMember(both, second);
    assert.equal(rest.members, 1);
    assert.deepEqual(rest.chainLoads, { t3: 5 });
    assert.deepEqual(rest.suspects, { t1: 1, t4: 0 });
    assert.deepEqual(rest.crashes, { r1: 1, r2: 0 });
});

test("a truncated sum keeps the targets with the most requests", () => {
    const chainLoads = Object.fromEntries(Array.from({ length: 30 }, (_, load) => [`t${load}`, load]));
    const bounded = truncateSums(sumsOf("a", { ...first, limits: {}, partCrashes: {}, safeRuns: {}, chainLoads }));
    assert.equal(Object.keys(bounded.chainLoads).length, 10);
    assert.equal(bounded.chainLoads["t29"], 29);
});

test("statements of limits take the room of chain loads, the newest first", () => {
    const chainLoads = Object.fromEntries(Array.from({ length: 30 }, (_, load) => [`t${load}`, load]));
    const limits = Object.fromEntries([30, 10, 20].map(age => [`u${age}`, { rate: 3, age }]));
    const state = { ...first, partCrashes: {}, safeRuns: {}, chainLoads, limits };
    for (const kept of [truncateState(state), truncateSums(sumsOf("a", state))]) {
        assert.deepEqual(Object.keys(kept.limits).sort(), ["u10", "u20"]);
        assert.equal(Object.keys(kept.chainLoads).length, 6);
    }
});

test("statements grow older while a sum is held", () => {
    assert.deepEqual(ageSums(sumsOf("a", first), 50).limits, { t6: { rate: 3, age: 70 }, t7: { rate: 5, age: 60 } });
    assert.deepEqual(ageSums(sumsOf("a", first), 50).safeRuns, { p1: 450 });
});

// With four entries at most, each gateway knew a different part of twenty slow targets and built chains over the others.
test("slow targets use the room that the other tables of a heartbeat leave, and always some of it", () => {
    const many = (count: number, prefix: string) =>
        Object.fromEntries(Array.from({ length: count }, (_, index) => [`${prefix}${index}`, 12]));
    const suspects = Array.from({ length: 7 }, (_, index) => `s${index}`);
    const slowTargets = many(23, "t");
    const quiet = { ...first, suspects: [], crashes: {}, partCrashes: {}, safeRuns: {}, limits: {}, slowTargets };
    const full = { ...first, suspects, chainLoads: many(10, "c"), crashes: many(6, "r"), slowTargets };
    const countKept = (state: PeerState) => [
        Object.keys(truncateState(state).slowTargets).length,
        Object.keys(truncateSums(sumsOf("a", state)).slowTargets).length,
    ];
    assert.deepEqual(countKept(quiet), [23, 23]);
    assert.deepEqual(countKept(full), [4, 4]);
});
