import assert from "node:assert/strict";
import { test } from "node:test";
import { isWholeHeartbeat } from "./PeerGroup.js";

const beats = Array.from({ length: 20 }, (_, beat) => beat);

test("in a small group every heartbeat is whole", () => {
    assert.ok(beats.every(beat => isWholeHeartbeat(beat, 5)));
});

test("in a large group one heartbeat in four is whole, the first one among them", () => {
    assert.deepEqual(beats.filter(beat => isWholeHeartbeat(beat, 22)), [0, 4, 8, 12, 16]);
});
