import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { type ReplyEvidence } from "../replies/ReplyEvidence.js";
import { type ReplyHead } from "../requests/messages.js";
import { silentLogs, testTarget } from "../testing/fixtures.js";
import { TargetLimits } from "./TargetLimits.js";

const target = testTarget("t1", "large");
const head: ReplyHead = {
    requestId: "r1",
    isSigned: true,
    neverExecuted: false,
    faultyAddress: undefined,
    limit: { kind: "limited", rate: 3 },
    rest: { kind: "none" },
    isLeaving: false,
    unknownHeaders: [],
};
const unlimited: ReplyHead = { ...head, limit: { kind: "none" } };

function createLimits() {
    const clock = new ManualClock(1_000);
    const metrics = new GatewayMetrics(new MetricRegistry(clock));
    const limits = new TargetLimits({ clock, observation: { logs: silentLogs(), metrics } });
    const reply = (evidence: Partial<ReplyEvidence>) =>
        limits.recordReply({ target, status: 200, head, requestId: "r1", sentAt: clock.now(), ...evidence });
    return { clock, limits, reply };
}

test("a limit holds until a reply to a later request names none", () => {
    const { clock, limits, reply } = createLimits();
    const sentAt = clock.now();
    clock.advance(10);
    reply({});
    assert.equal(limits.rate(target), 3);
    clock.advance(10);
    reply({ head: unlimited, sentAt });
    assert.equal(limits.rate(target), 3);
    assert.equal(limits.age(target), 10);
    reply({ head: unlimited });
    assert.equal(limits.rate(target), undefined);
});

test("a refusal names a limit, but lifts none", () => {
    const { clock, limits, reply } = createLimits();
    const refusal = { isSigned: false, neverExecuted: true };
    reply({ status: 503, head: { ...head, ...refusal } });
    assert.equal(limits.rate(target), 3);
    clock.advance(10);
    reply({ status: 503, head: { ...unlimited, ...refusal } });
    assert.equal(limits.rate(target), 3);
});

test("replies of another target, to another request or unsigned say nothing", () => {
    const { limits, reply } = createLimits();
    reply({ status: 421, head: { ...head, isSigned: false, neverExecuted: true } });
    reply({ head: { ...head, requestId: "r2" } });
    reply({ head: { ...head, isSigned: false } });
    assert.equal(limits.rate(target), undefined);
});

test("an unreadable limit changes nothing", () => {
    const { limits, reply } = createLimits();
    reply({});
    reply({ head: { ...head, limit: { kind: "unreadable", text: "3/s" } } });
    assert.equal(limits.rate(target), 3);
});

test("a limit ends with the incarnation that named it", () => {
    const { limits, reply } = createLimits();
    reply({ target: { ...target, startedAt: 1 } });
    assert.equal(limits.rate({ ...target, startedAt: 1 }), 3);
    assert.equal(limits.rate({ ...target, startedAt: 2 }), undefined);
});
