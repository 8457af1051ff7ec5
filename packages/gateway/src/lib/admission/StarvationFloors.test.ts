import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StarvationFloors } from "./StarvationFloors.js";

const urgent = { kind: "urgent", organisation: "x" };
const bulk = { kind: "bulk", organisation: "y" };

function createFloors() {
    const clock = new ManualClock();
    const floors = new StarvationFloors({ clock });
    /** Half of the urgent requests and none of the others are granted. */
    const flood = (count: number) => {
        for (let i = 0; i < count; i++) {
            clock.advance(10);
            [urgent, urgent, bulk].forEach(request => floors.noteRequested(request));
            floors.noteGranted(urgent, false);
        }
    };
    return { clock, floors, flood };
}

test("a kind that gets less than its floor is starved until it has reached it", () => {
    const { floors, flood } = createFloors();
    assert.equal(floors.isStarved(bulk), false);
    flood(100);
    assert.equal(floors.isStarved(bulk), true);
    assert.equal(floors.isStarved(urgent), false);
    // A third of all requests is granted, so 0.4 / 3 of the 100 are due.
    for (let i = 0; i < 16; i++) {
        floors.noteGranted(bulk, true);
    }
    assert.equal(floors.isStarved(bulk), false);
});

test("an organisation is starved within a kind that is not", () => {
    const { floors, flood } = createFloors();
    flood(100);
    const other = { kind: "urgent", organisation: "z" };
    assert.equal(floors.isStarved(other), false);
    floors.noteRequested(other);
    assert.equal(floors.isStarved(other), true);
});

test("one grant in four goes to starved requests", () => {
    const { floors } = createFloors();
    const turns: boolean[] = [];
    for (let i = 0; i < 9; i++) {
        turns.push(floors.isDue);
        floors.noteGranted(bulk, floors.isDue);
    }
    assert.deepEqual(turns, [true, false, false, false, true, false, false, false, true]);
});

test("starvation is forgotten some seconds after a flood", () => {
    const { clock, floors, flood } = createFloors();
    flood(100);
    clock.advance(20_000);
    for (let i = 0; i < 20; i++) {
        floors.noteRequested(bulk);
        floors.noteGranted(bulk, false);
    }
    assert.equal(floors.isStarved(bulk), false);
});
