import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LearnedRooms } from "./LearnedRooms.js";

function createRooms() {
    const clock = new ManualClock();
    return { clock, rooms: new LearnedRooms(clock) };
}

test("refusals that arrive together lower the room of a target once", () => {
    const { clock, rooms } = createRooms();
    for (let refusal = 0; refusal < 10; refusal++) {
        rooms.noteFull("t1");
        clock.advance(19);
    }
    assert.ok(Math.abs(rooms.share("t1") - 0.9) < 0.01);
    assert.equal(rooms.share("t2"), 1);
});

test("continued refusals leave a target half of its room, which it regains within some seconds", () => {
    const { clock, rooms } = createRooms();
    for (let refusal = 0; refusal < 20; refusal++) {
        rooms.noteFull("t1");
        clock.advance(200);
        assert.ok(rooms.share("t1") >= 0.5);
    }
    assert.ok(rooms.share("t1") < 0.52);
    clock.advance(5_000);
    assert.ok(rooms.share("t1") > 0.6 && rooms.share("t1") < 0.7);
    clock.advance(15_000);
    assert.equal(rooms.share("t1"), 1);
});

test("a restarted target has its whole room", () => {
    const { rooms } = createRooms();
    rooms.noteFull("t1");
    rooms.forget("t1");
    assert.equal(rooms.share("t1"), 1);
});
