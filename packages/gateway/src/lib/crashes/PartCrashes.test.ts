import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { crashSetOf, joinCrashSets, sizeOfCrashSet } from "./CrashSet.js";
import { PartCrashes } from "./PartCrashes.js";

const [a, b, c] = [1, 2, 4];

function createParts() {
    const clock = new ManualClock(100_000);
    const parts = new PartCrashes(clock);
    return { clock, parts, count: (part: string) => sizeOfCrashSet(parts.targetsOf(part)) };
}

test("a target that several gateways saw crash counts once", () => {
    const { parts, count } = createParts();
    parts.add("p", a);
    parts.recordPeerCrashes({ p: joinCrashSets(a, b) });
    assert.equal(count("p"), 2);
});

test("a set of crashes holds about as many targets as were added, whatever their ids", () => {
    const sizes = Array.from({ length: 200 }, (_, run) => {
        const ids = Array.from({ length: 5 }, (_, index) => crashSetOf(`i-${run * 977 + index}@${run}`));
        return sizeOfCrashSet(ids.reduce(joinCrashSets));
    });
    const mean = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
    assert.ok(mean > 4.5, `${mean}`);
    assert.ok(Math.min(...sizes) >= 3);
});

test("a run clears a part here and at gateways that hear of it, except for crashes since", () => {
    const { clock, parts, count } = createParts();
    parts.add("p", a);
    parts.recordPeerCrashes({ p: b });
    clock.advance(100);
    parts.recordRun(["p"]);
    assert.equal(count("p"), 0);
    clock.advance(100);
    parts.add("p", c);
    parts.recordPeerRuns({ p: 100 });
    assert.equal(count("p"), 1);
    parts.recordPeerRuns({ p: 0 });
    assert.equal(count("p"), 0);
});

test("crashes that a gateway reports before it has heard of the run do not count", () => {
    const { clock, parts, count } = createParts();
    parts.recordRun(["p"]);
    clock.advance(900);
    parts.recordPeerCrashes({ p: a });
    assert.equal(count("p"), 0);
    clock.advance(100);
    parts.recordPeerCrashes({ p: a });
    assert.equal(count("p"), 1);
});

test("runs are reported of parts with crashes only, the most recent first, for five seconds", () => {
    const { clock, parts } = createParts();
    parts.recordRun(["p", "q", "r"]);
    clock.advance(1_000);
    parts.add("p", a);
    parts.recordPeerCrashes({ q: b });
    parts.recordRun(["q"]);
    assert.deepEqual(Object.entries(parts.listRuns()), [["q", 0], ["p", 1_000]]);
    clock.advance(4_500);
    assert.deepEqual(Object.keys(parts.listRuns()), ["q"]);
});

test("crashes at the same moment count once in a series, and a run ends it", () => {
    const { clock, parts } = createParts();
    parts.addToSeries("p");
    parts.addToSeries("p");
    clock.advance(100);
    parts.addToSeries("p");
    assert.equal(parts.seriesOf("p"), 2);
    parts.recordRun(["p"]);
    assert.equal(parts.seriesOf("p"), 0);
});

test("the share of a part follows the recent runs", () => {
    const { parts } = createParts();
    for (let run = 0; run < 400; run++) {
        parts.recordRun(run % 10 === 0 ? ["common", "rare"] : ["common"]);
    }
    assert.ok(parts.shareOf("common") > 0.8);
    assert.ok(Math.abs(parts.shareOf("rare") - 0.1) < 0.05);
    assert.equal(parts.shareOf("new"), 0);
});

test("parts that a caller makes up do not push out those with crashes", () => {
    const { parts, count } = createParts();
    parts.add("p", a);
    for (let index = 0; index < 20_000; index++) {
        parts.recordRun([`made up ${index}`]);
    }
    assert.equal(count("p"), 1);
});

test("of parts with as many crashes, those whose prompts had no reply are reported first", () => {
    const { parts } = createParts();
    ["p", "q", "r"].forEach(part => parts.add(part, a));
    parts.add("q", b);
    parts.add("s", a, true);
    assert.deepEqual(Object.keys(parts.listSeen()).slice(0, 2), ["q", "s"]);
});
