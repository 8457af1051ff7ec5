import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TimeCorrections } from "./TimeCorrections.js";

function createCorrections() {
    const clock = new ManualClock();
    const corrections = new TimeCorrections({ clock });
    const observe = (measured: number, count = 100) => {
        for (let i = 0; i < count; i++) {
            corrections.observe("a", "eventInterval", measured, 40);
        }
    };
    return { clock, corrections, observe, factor: () => corrections.factor("a", "eventInterval") };
}

// Guards against a model that is wrong for a chain and stays so.
test("predictions approach the measured times of a chain, and only of that chain and time", () => {
    const { corrections, observe, factor } = createCorrections();
    assert.equal(factor(), 1);
    observe(60);
    assert.ok(Math.abs(factor() - 1.5) < 0.01);
    assert.equal(corrections.factor("b", "eventInterval"), 1);
    assert.deepEqual(Math.round(corrections.correct("a", { firstEvent: 30, eventInterval: 40 }).eventInterval), 60);
    assert.equal(corrections.correct("a", { firstEvent: 30, eventInterval: 40 }).firstEvent, 30);
});

// Guards against the times around a crash, which would drive all requests from a chain or to it.
test("factors are bounded, and one measurement has little weight", () => {
    const { corrections, observe, factor } = createCorrections();
    observe(100_000, 1);
    assert.ok(factor() <= 1.4);
    observe(100_000);
    assert.ok(factor() <= 3 && factor() > 2.9);
    observe(0.001);
    assert.ok(factor() >= 0.5 && factor() < 0.51);
    corrections.observe("a", "eventInterval", NaN, 40);
    corrections.observe("a", "eventInterval", 40, 0);
    assert.ok(factor() >= 0.5);
});

// Guards against a chain that was slow once and is never tried again.
test("a factor decays to 1 without measurements", () => {
    const { clock, observe, factor } = createCorrections();
    observe(80);
    clock.advance(15_000);
    assert.ok(Math.abs(factor() - 1.5) < 0.01);
    clock.advance(180_000);
    assert.ok(Math.abs(factor() - 1) < 0.01);
});
