import { type Clock, ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type PlannedCall } from "../plan/LoadSettings.js";
import { summarize } from "../report/LoadSummary.js";
import { type CallEnd } from "./CallEnd.js";
import { type LoadRecord, runLoad } from "./runLoad.js";

const bounds = { firstToken: 540, token: 72, share: 0.95 };

function modelCall(at: number): PlannedCall {
    return { at, kind: "model", caller: { name: "anonymous" }, path: "/v1/completions", body: "{}" };
}

/** A site that serves one call at a time, each in `work` milliseconds. */
function slowSite(clock: ManualClock, work: number): (call: PlannedCall) => Promise<CallEnd> {
    let freeAt = 0;
    return () => {
        freeAt = Math.max(freeAt, clock.now()) + work;
        return new Promise(resolve => {
            clock.schedule(() => resolve({ outcome: "completed", pieceTimes: [clock.now()] }), freeAt - clock.now());
        });
    };
}

async function runCalls(
    times: readonly number[],
    work: number,
    maxOpen = 1000,
): Promise<{ sent: number[]; records: LoadRecord[]; }> {
    const clock = new ManualClock(50);
    const serve = slowSite(clock, work);
    const sent: number[] = [];
    let records: LoadRecord[] | undefined;
    const send = (call: PlannedCall): Promise<CallEnd> => {
        sent.push(clock.now());
        return serve(call);
    };
    void runLoad({ clock, calls: times.map(modelCall), send, maxOpen }).then(all => records = all);
    await clock.advanceAsync(10_000, 10);
    assert.ok(records !== undefined, "the run ended");
    return { sent, records };
}

test("calls are sent at their times however slow the answers are", async () => {
    const times = [0, 10, 20, 300, 1000];
    assert.deepEqual((await runCalls(times, 10)).sent, times.map(time => time + 50));
    assert.deepEqual((await runCalls(times, 900)).sent, times.map(time => time + 50));
});

test("time spent in a queue counts as latency", async () => {
    const { records } = await runCalls([0, 10, 20, 30], 500);
    const { firstToken, good, outcomes } = summarize(records, bounds);
    assert.deepEqual(outcomes, { completed: 4 });
    assert.equal(Math.round(firstToken.max / 10), 197, "2000 ms of work, less the 30 ms of its arrival");
    assert.deepEqual([good.count, good.share], [1, 0.25]);
});

test("calls beyond the maximum in flight are not sent, and are reported", async () => {
    const { records, sent } = await runCalls([0, 10, 20, 30], 500, 2);
    assert.equal(sent.length, 2);
    const { outcomes, good } = summarize(records, bounds);
    assert.deepEqual(outcomes, { completed: 2, "not sent": 2 });
    assert.equal(good.share, 0.25, "calls that were not sent count as planned");
});

test("the latency of a call that the generator sends late is measured from its planned time", async () => {
    const clock = new ManualClock();
    let records: LoadRecord[] = [];
    const send = (): Promise<CallEnd> => Promise.resolve({ outcome: "completed", pieceTimes: [clock.now()] });
    // Every timer of the generator fires after 700 ms.
    const lateClock: Clock = {
        now: () => clock.now(),
        date: () => clock.date(),
        schedule: callback => clock.schedule(callback, 700),
    };
    void runLoad({
        clock: lateClock,
        calls: [modelCall(0), modelCall(1)],
        send,
        maxOpen: 10,
    }).then(all => records = all);
    await clock.advanceAsync(2000);
    const { sendDelay, firstToken, good } = summarize(records, bounds);
    assert.equal(Math.round(sendDelay.max), 699);
    assert.equal(Math.round(firstToken.max), 699);
    assert.equal(good.count, 1);
});
