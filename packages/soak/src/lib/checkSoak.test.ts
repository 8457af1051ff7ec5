import { LimitHistory } from "@waxwingspar/gateway/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkLoad, checkSoak } from "./checkSoak.js";
import { type GatewayIncarnation, type SoakCall, SoakLog, type SoakRun } from "./SoakLog.js";

const gateway: GatewayIncarnation = {
    gateway: "front-1",
    number: 1,
    disturbances: [],
    storeCuts: [],
    starvations: [],
    wasCutOff: false,
};
const call: SoakCall = {
    requestId: "r1",
    kind: "once",
    gateway,
    sentAt: 10_000,
    expectedBody: "whole",
    status: 200,
    body: "whole",
    isComplete: true,
};
const run: SoakRun = { requestId: "r1", target: "t1", at: 10_000, sender: gateway, end: "served" };

function createLog(calls: readonly Partial<SoakCall>[], runs: readonly Partial<SoakRun>[]): SoakLog {
    const log = new SoakLog(0);
    log.calls.push(...calls.map(changes => ({ ...call, ...changes })));
    log.runs.push(...runs.map(changes => ({ ...run, ...changes })));
    return log;
}

const checksOf = (log: SoakLog, ...limited: Parameters<typeof checkSoak>[1]) =>
    checkSoak(log, limited).map(({ check }) => check);

test("a sound call breaks no check", () => {
    assert.deepEqual(checksOf(createLog([{}], [{ end: "refused" }, {}])), []);
});

test("a second run, a false refusal and a changed answer are found", () => {
    assert.deepEqual(checksOf(createLog([{}], [{}, { target: "t2" }])), ["once"]);
    assert.deepEqual(checksOf(createLog([{ status: 503 }], [{}])), ["refusal"]);
    assert.deepEqual(checksOf(createLog([{ body: "wh" }], [{}])), ["answer"]);
});

test("an answer that a planned stop cuts off is found, one after a kill is not", () => {
    assert.deepEqual(checksOf(createLog([{ isComplete: false }], [{}])), ["stop"]);
    const killed = { ...gateway, wasCutOff: true };
    assert.deepEqual(checksOf(createLog([{ isComplete: false, gateway: killed }], [{}])), []);
});

test("a whole request that is read and never answered is found, one that crosses the end of its connection is not", () => {
    const lost = { status: 0, isComplete: false, writtenAt: 10_000, closedAt: 11_400 };
    const checks = (changes: Partial<SoakCall>, runs: readonly Partial<SoakRun>[] = []) =>
        checksOf(createLog([{ ...lost, ...changes }], runs));
    const starved = (slowness: number, until: number) => ({
        ...gateway,
        starvations: [{ from: 9_000, until, slowness }],
    });
    assert.deepEqual(checks({}), ["answered"]);
    assert.deepEqual(checks({}, [{ end: "brokenOff" }]), ["answered"]);
    assert.deepEqual(checks({ status: 503 }), ["answered"]);
    assert.deepEqual(checks({ closedAt: 10_201 }), ["answered"]);
    assert.deepEqual(checks({ gateway: starved(4, 12_000) }), ["answered"]);
    assert.deepEqual(checks({ gateway: starved(20, 9_900) }), ["answered"]);
    assert.deepEqual(checks({ gateway: starved(20, 12_000) }), []);
    assert.deepEqual(checks({ closedAt: 10_200 }), []);
    assert.deepEqual(checks({ writtenAt: undefined }), []);
    assert.deepEqual(checks({ leftAt: 10_300 }), []);
    assert.deepEqual(checks({ isBehindBroken: true }), []);
    assert.deepEqual(checks({ gateway: { ...gateway, wasCutOff: true } }), []);
    const stalled = createLog([{ ...lost, closedAt: 10_500 }], []);
    stalled.stalls.push({ from: 11_000, until: 12_000 });
    assert.deepEqual(checksOf(stalled), ["answered"]);
    stalled.stalls.push({ from: 10_300, until: 10_600 });
    assert.deepEqual(checksOf(stalled), []);
});

test("a long stream that its target is still sending is not excused by a link that fails later", () => {
    const cutAt = (at: number) => {
        const log = createLog([{ isComplete: false }], [{ duration: 4_000 }]);
        log.linkFaults.push({ target: "t1", from: at, until: at + 100 });
        return checksOf(log);
    };
    assert.deepEqual(cutAt(13_900), []);
    assert.deepEqual(cutAt(14_100), ["stop"]);
});

test("a request to a target that left is found, unless the store failed around its leaving", () => {
    const log = createLog([], [{ at: 12_500 }]);
    log.departures.push({ target: "t1", at: 10_000 });
    assert.deepEqual(checksOf(log), ["leaving"]);
    log.storeFaults.push({ from: 8_000, until: 9_000 });
    assert.deepEqual(checksOf(log), []);
});

test("too many requests from told gateways are found, those of gateways that were just disturbed are not", () => {
    const limits = new LimitHistory();
    limits.set(0, 3);
    const limited = { id: "t1", limits, toldAt: new Map([[gateway, 0]]) };
    const runs = Array.from({ length: 24 }, (_, index) => ({ requestId: `r${index}`, at: 10_000 + index }));
    assert.deepEqual(checksOf(createLog([], runs), limited), ["limit"]);
    assert.deepEqual(checksOf(createLog([], runs.slice(1)), limited), []);
    const disturbed = { ...gateway, disturbances: [{ from: 9_000, until: 9_500 }] };
    const excused = { ...limited, toldAt: new Map([[disturbed, 0]]) };
    assert.deepEqual(checksOf(createLog([], runs.map(other => ({ ...other, sender: disturbed }))), excused), []);
});

test("requests in a rest are found beyond two, unless the gateway was disturbed or they were on their way", () => {
    const runs = [10_400, 11_000, 12_000, 12_900].map((at, index) => ({ requestId: `r${index}`, at }));
    const rest = { target: "t1", sender: gateway, at: 10_000, until: 13_000 };
    const log = createLog([], runs);
    log.rests.push(rest);
    assert.deepEqual(checksOf(log), ["rest"]);
    const twoInRest = createLog([], runs.slice(0, 3));
    twoInRest.rests.push(rest);
    assert.deepEqual(checksOf(twoInRest), []);
    const disturbed = { ...gateway, disturbances: [{ from: 10_700, until: 10_800 }] };
    const excused = createLog([], runs.map(one => ({ ...one, sender: disturbed })));
    excused.rests.push({ ...rest, sender: disturbed });
    assert.deepEqual(checksOf(excused), []);
});

test("a request to a target that had told its gateway that it leaves is found, also while the store fails", () => {
    const log = createLog([], [{ at: 10_700 }]);
    log.toldLeaving.push({ target: "t1", sender: gateway, at: 10_000 });
    log.storeFaults.push({ from: 8_000, until: 12_000 });
    assert.deepEqual(checksOf(log), ["leaving"]);
});

test("a header that a gateway did not know is found", () => {
    const log = createLog([], []);
    log.unknownHeaders.push("server-mood");
    assert.deepEqual(checksOf(log), ["header"]);
});

test("more than three requests with a deadly part after the fifth crash are found, except around a store that fails", () => {
    const late = (count: number) =>
        Array.from({ length: count }, (_, id) => ({
            requestId: `late ${id}`,
            at: 20_000 + id,
            end: "brokenOff" as const,
            isDeadly: true,
        }));
    const played = (count: number, crashes: number) => {
        const log = createLog([], late(count));
        log.crashes.push(...Array.from({ length: crashes }, (_, index) => 10_000 + index));
        return log;
    };
    assert.deepEqual(checksOf(played(3, 5)), []);
    assert.deepEqual(checksOf(played(4, 4)), []);
    assert.deepEqual(checksOf(played(4, 5)), ["part"]);
    const withoutStore = played(4, 5);
    withoutStore.storeFaults.push({ from: 18_000, until: 19_000 });
    assert.deepEqual(checksOf(withoutStore), []);
});

test("requests that reach targets after their callers have left are found", () => {
    const calls = Array.from(
        { length: 4 },
        (_, index) => ({ requestId: `r${index}`, leftAt: 11_000, isComplete: false }),
    );
    const runs = (at: number) => calls.map(({ requestId }) => ({ requestId, at }));
    assert.deepEqual(checksOf(createLog(calls, runs(11_600))), ["left"]);
    assert.deepEqual(checksOf(createLog(calls, runs(11_400))), []);
    assert.deepEqual(checksOf(createLog(calls, runs(11_600).slice(1))), []);
});

// Guards against a soak that passes because its gateways never served: 60 gateways on a few processors.
test("a soak that sends less than a fifth of its planned requests fails", () => {
    assert.deepEqual(checkLoad(0, 10_800).map(({ detail }) => detail), ["0 of 10800 requests were sent"]);
    assert.equal(checkLoad(2_159, 10_800).length, 1);
    assert.deepEqual(checkLoad(2_160, 10_800), []);
});
