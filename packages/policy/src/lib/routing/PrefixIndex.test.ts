import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultHealthOptions, TargetHealth } from "../health/TargetHealth.js";
import { PrefixIndex } from "./PrefixIndex.js";
import { completeRouterOptions } from "./RouterOptions.js";
import { TargetState } from "./TargetState.js";

function setUp(cacheBlocks: number) {
    const clock = new ManualClock();
    const random = seededRandom(1);
    const place = { clock, random, entry: "entry", dataCentre: "dc", region: "region" };
    const index = new PrefixIndex(completeRouterOptions({ ...place, cacheBlocks, cacheHalfLife: 1000 }));
    const spec = { host: "127.0.0.1", port: 1, dataCentre: "dc", region: "region", speed: 1, bandwidth: 1, latency: 0 };
    const state = (name: string) =>
        new TargetState(
            { ...spec, name, slots: 1, holds: [] },
            0,
            new TargetHealth(clock, random, defaultHealthOptions),
        );
    return { clock, index, state };
}

const prompt = (name: string, blocks: number) => Array.from({ length: blocks }, (_, block) => `${name}.${block}`);

test("each target matches the longest prefix recorded for it", () => {
    const { index, state } = setUp(100);
    const [one, two] = [state("one"), state("two")];
    index.stored([one], prompt("a", 10));
    index.stored([two], prompt("a", 4));
    const found = index.match([...prompt("a", 10), "new"]);
    assert.equal(found.get(one), 10);
    assert.equal(found.get(two), 4);
});

test("the index stays within its capacity and evicts the least recently used prompt", () => {
    const { index, state } = setUp(20);
    const one = state("one");
    index.stored([one], prompt("old", 10));
    index.stored([one], prompt("kept", 10));
    index.stored([one], prompt("new", 5));
    assert.equal(index.size, 20);
    assert.equal(index.match(prompt("old", 10)).get(one), 5);
    assert.equal(index.match(prompt("kept", 10)).get(one), 10);
});

test("trust decays with time and with lost cache events", () => {
    const { clock, index, state } = setUp(100);
    const one = state("one");
    index.stored([one], prompt("a", 10));
    clock.advance(1000);
    assert.equal(index.match(prompt("a", 10)).get(one), 5);
    one.cacheGaps += 50;
    assert.ok(index.match(prompt("a", 10)).get(one)! < 2);
});

test("an unexpected miss lowers the trust; storing the prompt again does not restore it, but a hit does", () => {
    const { index, state } = setUp(100);
    const one = state("one");
    const trusts = ["miss", "miss", "miss", "hit", "hit"].map(answer => {
        const expected = index.match(prompt("a", 20)).get(one) ?? 0;
        index.stored([one], prompt("a", 20));
        index.updateTrust([one], prompt("a", 20), { expected, seen: answer === "hit" ? 20 : 0 });
        return index.match(prompt("a", 20)).get(one)! / 20;
    });
    // No blocks were expected for the first response, so its miss does not lower the trust.
    assert.deepEqual(trusts, [1, 0.75, 0.5625, 0.671875, 0.75390625]);
    assert.equal(index.size, 20);
});

test("a partial hit is distinguished from a miss, within the error of the reported depth", () => {
    const { index, state } = setUp(100);
    const one = state("one");
    index.stored([one], prompt("a", 20));
    index.updateTrust([one], prompt("a", 20), { expected: 20, seen: 16 });
    assert.equal(index.match(prompt("a", 20)).get(one), 20);
    for (let miss = 0; miss < 3; miss++) {
        index.updateTrust([one], prompt("a", 20), { expected: 20, seen: 8 });
    }
    // The depth of the hit may be off by a quarter and a block; only blocks beyond that count as three misses.
    assert.equal(index.match(prompt("a", 11)).get(one), 11);
    assert.equal(index.match(prompt("a", 20)).get(one), 11);
    assert.equal(index.match(["a.11"]).get(one), 0.75 ** 3);
});

test("a miss is divided among the stages of a chain, and a hit on another chain restores a stage's trust", () => {
    const { index, state } = setUp(100);
    const [one, two] = [state("one"), state("two")];
    index.stored([one, two], prompt("a", 10));
    index.updateTrust([one, two], prompt("a", 10), { expected: 10, seen: 0 });
    const share = index.match(prompt("a", 10)).get(one)! / 10;
    assert.ok(Math.abs(share - Math.sqrt(0.75)) < 1e-9, `${share}`);
    index.updateTrust([one], prompt("a", 10), { expected: 10, seen: 10 });
    assert.ok(index.match(prompt("a", 10)).get(one)! > index.match(prompt("a", 10)).get(two)!);
});

test("reported evictions lower the trust, and a new cache generation resets it", () => {
    const { clock, index, state } = setUp(100);
    const one = state("one");
    const load = { target: "one", running: 0, queued: 0, slots: 1, tokenInterval: 0, firstTokenEstimate: 0 };
    const report = (cacheGeneration: number, cacheEvicted: number) =>
        one.report({ ...load, leaving: false, cacheGeneration, cacheEvicted }, clock.now(), 1);
    report(3, 60);
    index.stored([one], prompt("a", 10));
    clock.advance(1000);
    const left = index.match(prompt("a", 10)).get(one)!;
    // The half-life of 1000 ms, and half of the range above the minimum after the whole cache has been replaced once.
    assert.ok(Math.abs(left - 10 * 0.5 * 0.75) < 1e-9, `${left}`);
    clock.advance(1000);
    const later = index.match(prompt("a", 10)).get(one)!;
    assert.ok(Math.abs(later - 10 * 0.25 * (0.5 + 0.5 / 16)) < 1e-9, `${later}`);
    index.updateTrust([one], prompt("a", 10), { expected: 10, seen: 0 });
    index.updateTrust([one], prompt("a", 10), { expected: 10, seen: 0 });
    index.updateTrust([one], prompt("a", 10), { expected: 10, seen: 0 });
    // The trust from responses is now lower than that from evictions, so only the former is applied.
    assert.ok(Math.abs(index.match(prompt("a", 10)).get(one)! - 10 * 0.25 * 0.75 ** 3) < 1e-9);
    // A lower generation than before is reported by an agent that was restarted.
    report(0, 0);
    assert.equal(index.match(prompt("a", 10)).size, 0);
    index.stored([one], prompt("a", 10));
    report(0, 0);
    assert.equal(index.match(prompt("a", 10)).get(one), 10);
});
