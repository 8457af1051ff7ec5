import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReplyEvidence } from "../replies/ReplyEvidence.js";
import { silentObservation, testTarget } from "../testing/fixtures.js";
import { TargetRests } from "./TargetRests.js";

const target = { ...testTarget("t1", "large"), startedAt: 1 };

function createRests() {
    const clock = new ManualClock(1_000);
    const rests = new TargetRests({ clock, random: seededRandom(1), observation: silentObservation(clock) });
    const ask = (duration: number, evidence: Partial<ReplyEvidence> = {}) =>
        rests.recordReply({
            target,
            status: 503,
            head: {
                requestId: undefined,
                isSigned: false,
                neverExecuted: true,
                faultyAddress: undefined,
                limit: { kind: "none" },
                rest: { kind: "asked", duration },
                isLeaving: false,
                unknownHeaders: [],
            },
            requestId: "r1",
            sentAt: clock.now(),
            ...evidence,
        });
    return { clock, rests, ask };
}

test("the latest end of overlapping rests counts", () => {
    const { clock, rests, ask } = createRests();
    ask(6_000);
    clock.advance(500);
    ask(1_000);
    assert.ok(rests.timeLeft(target) >= 5_500);
    ask(8_000);
    assert.ok(rests.timeLeft(target) >= 8_000);
});

test("a rest lasts a little longer than asked for, never shorter", () => {
    const { rests, ask } = createRests();
    for (const duration of [100, 1_000, 86_400_000]) {
        ask(duration);
        const left = rests.timeLeft(target);
        assert.ok(left >= duration && left <= duration * 1.1 && left <= duration + 500);
    }
});

test("a rest ends with the incarnation that asked for it", () => {
    const { rests, ask } = createRests();
    ask(3_000);
    assert.equal(rests.timeLeft({ ...target, startedAt: 2 }), 0);
});

test("a rest of zero is none", () => {
    const { rests, ask } = createRests();
    ask(0);
    assert.equal(rests.waitFor(target), 0);
});

test("a head that speaks for a target behind it: both rest", () => {
    const { rests, ask } = createRests();
    const faultyTarget = testTarget("t2", "large");
    ask(3_000, { faultyTarget });
    assert.ok(rests.timeLeft(target) >= 3_000 && rests.timeLeft(faultyTarget) >= 3_000);
});

test("after its rest a target gets one request, then two for each that it accepts, until it has recovered", () => {
    const { clock, rests, ask } = createRests();
    ask(1_000);
    clock.advance(2_000);
    const first = rests.beginSend(target);
    assert.ok(rests.waitFor(target) > 0);
    first("accepted");
    first("refused");
    const second = rests.beginSend(target);
    assert.equal(rests.waitFor(target), 0);
    rests.beginSend(target);
    assert.ok(rests.waitFor(target) > 0);
    second("accepted");
    assert.equal(rests.waitFor(target), 0);
    for (let i = 0; i < 40; i++) {
        rests.beginSend(target)("accepted");
    }
    const sends = Array.from({ length: 100 }, () => rests.beginSend(target));
    assert.equal(rests.waitFor(target), 0);
    sends.forEach(end => end("unanswered"));
});

test("a target that refuses after its rest gets one request again", () => {
    const { clock, rests, ask } = createRests();
    ask(1_000);
    clock.advance(2_000);
    rests.beginSend(target)("accepted");
    const [a, b] = [rests.beginSend(target), rests.beginSend(target)];
    a("refused");
    assert.ok(rests.waitFor(target) > 0);
    b("unanswered");
    assert.equal(rests.waitFor(target), 0);
    rests.beginSend(target);
    assert.ok(rests.waitFor(target) > 0);
});
