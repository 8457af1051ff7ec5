import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ServicePicker } from "../services/ServicePicker.js";
import { silentLogs } from "../testing/fixtures.js";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { createTargetWatch } from "./createTargetWatch.js";
import { type Target } from "./Target.js";
import { TargetDirectory } from "./TargetDirectory.js";

/*
 * Guards against requests that reach a target later than 2 s, its drain time, after the store acknowledged that it
 * leaves.
 *
 * The failure occurs when the age of data is measured from the arrival of a reply instead of the moment at which the
 * data was current. In one case the store was down for 6 s, until 3.3 s before the target left. The gateway noticed the
 * recovery only with the reply that removed the target's entry ("store regained" and "target lapsed" were logged
 * together), treated the entry as one that had expired in the outage, and kept sending requests for 2.2 s until it
 * logged "target removed".
 *
 * The tests cover both causes, with faults that begin at different moments of a call's wait: a call that hangs on an
 * unresponsive connection hides the removal, and the recovery of the store is noticed late.
 */

/** Default for the milliseconds without network faults within which a process must know of every change. */
const defaultContactTime = 3_000;
/** Milliseconds after a target leaves in which it may still get requests. */
const drainTime = 2_000;
/** Milliseconds between two requests, and of a step of the clock. */
const step = 10;
/** Milliseconds that a simulation continues after the last event. */
const tail = 5_000;

const leavingTarget: Target = { id: "a", service: "s", host: "10.0.0.1", port: 80, dataCentre: "x", state: "ready" };
const remainingTarget: Target = { ...leavingTarget, id: "b", dataCentre: "y" };

interface TimedEvent {
    /** Milliseconds after the start. */
    readonly at: number;
    readonly run: (table: SimulatedStore) => void;
}

const leave = {
    announced: (table: SimulatedStore) => table.put("a", { ...leavingTarget, state: "draining" }),
    silently: (table: SimulatedStore) => table.put("a", undefined),
};

/**
 * Runs a simulation with the given events.
 *
 * @returns When requests were sent to the leaving target, in milliseconds after the start.
 */
async function simulateRequests(events: readonly TimedEvent[], contactTime = defaultContactTime): Promise<number[]> {
    const clock = new ManualClock();
    const table = new SimulatedStore(clock);
    const directory = new TargetDirectory({ clock });
    const picker = new ServicePicker({ clock, service: "s", dataCentre: "x", directory });
    table.put("a", leavingTarget);
    table.put("b", remainingTarget);
    const watch = createTargetWatch({
        clock,
        store: table,
        table: "t",
        directory,
        decode: (_id, document) => ({ kind: "target", target: document as Target }),
        logger: silentLogs().directory,
        contactTime,
    });
    void watch.run();
    events.forEach(({ at, run }) => clock.schedule(() => run(table), at));
    const sends: number[] = [];
    const end = Math.max(...events.map(({ at }) => at)) + tail;
    while (clock.now() < end) {
        await clock.advanceAsync(step, step);
        if (picker.choose(new Set())?.id === "a") {
            sends.push(clock.now());
        }
    }
    watch.stop();
    return sends;
}

/** When faults begin, in milliseconds after the start: at different moments of the wait of consecutive calls. */
const startTimes = Array.from({ length: 10 }, (_, i) => 4_000 + i * 350);
const departures = Object.entries(leave);

test("a target that left while connections were unresponsive gets no request after its drain time", async () => {
    const wrong: string[] = [];
    for (const silentAt of startTimes) {
        for (const later of [100, 1_000, 1_500, 2_500, 3_100]) {
            for (const [departure, run] of departures) {
                const leftAt = silentAt + later;
                const sends = await simulateRequests([
                    { at: silentAt, run: table => table.silenceConnections() },
                    { at: leftAt, run },
                ]);
                const bound = Math.max(silentAt + defaultContactTime, leftAt + drainTime);
                const late = Math.max(0, ...sends) - bound;
                if (late > 0) {
                    wrong.push(
                        `unresponsive at ${silentAt} ms, left ${departure} ${later} ms later: last request ${late} ms too late`,
                    );
                }
            }
        }
    }
    assert.deepEqual(wrong, []);
});

test("the same holds for sites with other contact times", async () => {
    const wrong: string[] = [];
    for (const contactTime of [2_000, 4_000, 5_000]) {
        for (const silentAt of [6_000, 6_700, 7_400, 8_100, 8_800, 9_500]) {
            const leftAt = silentAt + 500;
            const sends = await simulateRequests([
                { at: silentAt, run: table => table.silenceConnections() },
                { at: leftAt, run: leave.silently },
            ], contactTime);
            const late = Math.max(0, ...sends) - Math.max(silentAt + contactTime, leftAt + drainTime);
            if (late > 0) {
                wrong.push(
                    `contact time ${contactTime} ms, unresponsive at ${silentAt} ms: last request ${late} ms too late`,
                );
            }
        }
    }
    assert.deepEqual(wrong, []);
});

test("a target that left around an outage of the store gets no request after its drain time", async () => {
    const wrong: string[] = [];
    for (const downAt of startTimes) {
        for (const outage of [300, 1_200, 2_500, 6_000]) {
            for (const later of [100, 1_100, 3_300]) {
                const upAt = downAt + outage;
                const leftAt = upAt + later;
                const sends = await simulateRequests([
                    { at: downAt, run: table => table.setDown(true) },
                    { at: upAt, run: table => table.setDown(false) },
                    { at: leftAt, run: leave.silently },
                ]);
                const bound = Math.max(upAt + defaultContactTime, leftAt + drainTime);
                const late = Math.max(0, ...sends) - bound;
                if (late > 0) {
                    wrong.push(
                        `down at ${downAt} ms for ${outage} ms, left ${later} ms after it: last request ${late} ms too late`,
                    );
                }
            }
        }
    }
    assert.deepEqual(wrong, []);
});

test("targets whose entries expired in an outage stay in use until the entries are written again", async () => {
    const gaps: string[] = [];
    for (const downAt of startTimes) {
        for (const outage of [4_000, 6_000]) {
            const upAt = downAt + outage;
            const returnedAt = upAt + 1_900;
            const sends = await simulateRequests([
                { at: downAt, run: table => table.setDown(true) },
                { at: upAt - 100, run: leave.silently },
                { at: upAt, run: table => table.setDown(false) },
                { at: returnedAt, run: table => table.put("a", leavingTarget) },
            ]);
            const sentCount = sends.filter(at => at > downAt && at <= returnedAt + tail).length;
            const expected = Math.floor((returnedAt + tail - downAt) / step);
            if (sentCount < expected - 1) {
                gaps.push(
                    `down at ${downAt} ms for ${outage} ms: ${expected - sentCount} requests went to other targets`,
                );
            }
        }
    }
    assert.deepEqual(gaps, []);
});
