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

test("the longest known prefix counts, for each target its own", () => {
    const { index, state } = setUp(100);
    const [one, two] = [state("one"), state("two")];
    index.stored([one], prompt("a", 10));
    index.stored([two], prompt("a", 4));
    const found = index.match([...prompt("a", 10), "new"]);
    assert.equal(found.get(one), 10);
    assert.equal(found.get(two), 4);
});

test("the index stays within its bound and forgets the prompt longest unused", () => {
    const { index, state } = setUp(20);
    const one = state("one");
    index.stored([one], prompt("old", 10));
    index.stored([one], prompt("kept", 10));
    index.stored([one], prompt("new", 5));
    assert.equal(index.size, 20);
    assert.equal(index.match(prompt("old", 10)).get(one), 5);
    assert.equal(index.match(prompt("kept", 10)).get(one), 10);
});

test("trust fades with time and with lost events", () => {
    const { clock, index, state } = setUp(100);
    const one = state("one");
    index.stored([one], prompt("a", 10));
    clock.advance(1000);
    assert.equal(index.match(prompt("a", 10)).get(one), 5);
    one.cacheGaps += 50;
    assert.ok(index.match(prompt("a", 10)).get(one)! < 2);
});
