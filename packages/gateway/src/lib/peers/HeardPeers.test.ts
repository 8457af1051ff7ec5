import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HeardPeers } from "./HeardPeers.js";
import { type PeerState } from "./PeerGroup.js";

const state: PeerState = { suspects: [], slowTargets: {}, chainLoads: {}, mayTakeDuty: true, confirmationAge: 100 };

function createPeers() {
    const clock = new ManualClock(50_000);
    const peers = new HeardPeers(clock);
    const hear = (sentAt: number, more: Partial<PeerState> = {}, incarnation = "1") =>
        peers.hear({ process: "p", incarnation, state: { ...state, ...more }, sent: { now: sentAt, date: sentAt } });
    return { clock, peers, hear };
}

test("a heartbeat that was overtaken by a later one changes nothing", () => {
    const { peers, hear } = createPeers();
    hear(200, { dutyTerm: undefined });
    assert.equal(hear(0, { dutyTerm: 7 }), "late");
    assert.equal(peers.alive()[0]?.state.dutyTerm, undefined);
});

test("a peer that starts again begins its clock anew", () => {
    const { peers, hear } = createPeers();
    assert.equal(hear(9_000), "new");
    assert.equal(hear(5, {}, "2"), "new");
    assert.equal(peers.alive()[0]?.incarnation, "2");
});

test("a peer's confirmation gets older from the moment it was heard of", () => {
    const { clock, peers, hear } = createPeers();
    assert.equal(peers.confirmationAge, Infinity);
    hear(0);
    clock.advance(900);
    assert.equal(peers.confirmationAge, 1_000);
});

test("a peer that is silent for longer than the timeout is gone", () => {
    const { clock, peers, hear } = createPeers();
    hear(0);
    clock.advance(1_001);
    assert.deepEqual(peers.alive(), []);
    assert.equal(peers.confirmationAge, Infinity);
});
