import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashCounts } from "./CrashCounts.js";

test("crashes seen here and reported by others add up until the request runs without a crash", () => {
    const counts = new CrashCounts(new ManualClock(1));
    counts.add("a");
    counts.add("a");
    counts.recordPeerCounts({ a: 1, b: 2 });
    assert.equal(counts.of("a"), 3);
    assert.equal(counts.of("b"), 2);
    counts.clear("a");
    assert.equal(counts.of("a"), 1);
});

test("crashes reported by others still count when the next heartbeat omits them", () => {
    const counts = new CrashCounts(new ManualClock(1));
    counts.recordPeerCounts({ a: 3 });
    counts.recordPeerCounts({ b: 1 });
    counts.recordPeerCounts({ a: 2 });
    assert.equal(counts.of("a"), 3);
});

test("requests with the most crashes over all gateways are reported first", () => {
    const counts = new CrashCounts(new ManualClock(1));
    ["a", "b", "c", "c"].forEach(digest => counts.add(digest));
    counts.recordPeerCounts({ a: 4 });
    assert.deepEqual(Object.keys(counts.listSeen()), ["a", "c", "b"]);
});

test("a request without further crashes is removed after ten minutes", () => {
    const clock = new ManualClock(1);
    const counts = new CrashCounts(clock);
    counts.add("a");
    clock.advance(599_000);
    assert.equal(counts.of("a"), 1);
    clock.advance(2_000);
    assert.equal(counts.of("a"), 0);
    assert.deepEqual(counts.listSeen(), {});
});
