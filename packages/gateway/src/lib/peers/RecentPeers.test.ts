import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type PeerState } from "./PeerState.js";
import { RecentPeers } from "./RecentPeers.js";

const state: PeerState = {
    suspects: [],
    slowTargets: {},
    chainLoads: {},
    crashes: {},
    partCrashes: {},
    safeRuns: {},
    limits: {},
    mayTakeDuty: true,
};

function createPeers() {
    const clock = new ManualClock(50_000);
    const peers = new RecentPeers(clock);
    const receive = (sequence: number, more: Partial<PeerState> = {}, incarnation = "1") =>
        peers.receive({
            process: "p",
            incarnation,
            address: "10.0.0.1:1",
            dataCentre: "a",
            sequence,
            state: { ...state, ...more },
            words: {},
            members: {},
        });
    return { clock, peers, receive };
}

test("a heartbeat that arrives out of order is ignored", () => {
    const { peers, receive } = createPeers();
    receive(2, { dutyTerm: undefined });
    assert.equal(receive(1, { dutyTerm: 7 }), "late");
    assert.equal(peers.alive()[0]?.state?.dutyTerm, undefined);
});

test("a duplicate heartbeat is ignored", () => {
    const { receive } = createPeers();
    assert.equal(receive(2), "new");
    assert.equal(receive(2), "late");
});

test("a restarted peer is accepted from its first heartbeat on", () => {
    const { peers, receive } = createPeers();
    assert.equal(receive(9_000), "new");
    assert.equal(receive(5, {}, "2"), "new");
    assert.equal(peers.alive()[0]?.incarnation, "2");
});

test("a peer that sends no heartbeats is no longer alive after a second, and removed", () => {
    const { clock, peers, receive } = createPeers();
    receive(0);
    clock.advance(1_001);
    assert.deepEqual(peers.alive(), []);
    peers.removeExpired();
    assert.equal(receive(1), "new");
});
