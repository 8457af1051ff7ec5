import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerLoadEstimate } from "./PeerLoadEstimate.js";

// Guards against gateways that fill a chain together because each knows only its own sends.
test("own sends within the age of a report raise the load that peers are expected to have", () => {
    const clock = new ManualClock();
    const estimate = new PeerLoadEstimate({ clock, viewAge: 900, follow: 0.5 });
    assert.equal(estimate.estimate("a", 40, 42), 40);
    estimate.begin("a");
    estimate.begin("a");
    assert.equal(estimate.estimate("a", 40, 42), 82);
    assert.equal(estimate.estimate("b", 40, 42), 40);
    clock.advance(500);
    estimate.end("a");
    assert.equal(estimate.estimate("a", 40, 42), 61);
    // The two sends are part of the report by now, the end is not.
    clock.advance(500);
    assert.equal(estimate.estimate("a", 40, 42), 19);
    assert.equal(estimate.estimate("a", 10, 42), 0);
    clock.advance(900);
    assert.equal(estimate.estimate("a", 40, 42), 40);
});
