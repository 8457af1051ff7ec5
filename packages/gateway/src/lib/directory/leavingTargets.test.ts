import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ServicePicker } from "../services/ServicePicker.js";
import { silentLogs } from "../testing/fixtures.js";
import { WatchedTable } from "../testing/WatchedTable.js";
import { createTargetWatch } from "./createTargetWatch.js";
import { type Target } from "./Target.js";
import { TargetDirectory } from "./TargetDirectory.js";

/*
 * The story. A caller's work order reached a target 2.2 s after the store had acknowledged that the target leaves; 2 s are
 * promised. The store had been away for 6 s, until 3.3 s before the leaving. The entry of the target vanished, and the gateway
 * took it for one that had expired in the outage, which it keeps for a return time. It counted that time from the answer of the
 * call that it had had waiting, and that answer was the news of the leaving.
 *
 * The evidence. In the log of an earlier version, on such a day: "store regained" and "target lapsed" at the moment of the leaving,
 * 3.3 s after the store was back; "target removed" 2.2 s later; requests to the target until then.
 *
 * The cause and its class. What a process believes of the list had no age: when the news arrived was taken for when it held. It
 * shows in two ways, which the tests below play for every moment at which it can begin: a call that hangs on a silent connection
 * hides a leaving, and the return of a store is noticed long after it.
 */

/** Milliseconds without trouble after which a process is held to its promises, unless a play says otherwise. */
const usualContactTime = 3_000;
/** Milliseconds after its leaving in which a target may still get requests. */
const drainTime = 2_000;
/** Milliseconds between two requests, and of a step of the clock. */
const step = 10;
/** How long a play goes on after the last event, in milliseconds. */
const tail = 5_000;

const leaver: Target = { id: "a", service: "s", host: "10.0.0.1", port: 80, dataCentre: "x", state: "ready" };
const stayer: Target = { ...leaver, id: "b", dataCentre: "y" };

interface Event {
    /** Milliseconds after the start. */
    readonly at: number;
    readonly run: (table: WatchedTable) => void;
}

const leave = {
    announced: (table: WatchedTable) => table.put("a", { ...leaver, state: "draining" }),
    silently: (table: WatchedTable) => table.put("a", undefined),
};

/** Plays events, and tells at which moments a request was sent to the target that leaves, in milliseconds after the start. */
async function playRequests(events: readonly Event[], contactTime = usualContactTime): Promise<number[]> {
    const clock = new ManualClock();
    const table = new WatchedTable(clock);
    const directory = new TargetDirectory({ clock });
    const picker = new ServicePicker({ clock, service: "s", dataCentre: "x", directory });
    table.put("a", leaver);
    table.put("b", stayer);
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

/** Moments of a call's wait, as milliseconds after the start: one call of the watch follows the other. */
const moments = Array.from({ length: 10 }, (_, i) => 4_000 + i * 350);
const ways = Object.entries(leave);

test("a target that left while connections were silent gets no request after its draining time", async () => {
    const wrong: string[] = [];
    for (const silentAt of moments) {
        for (const later of [100, 1_000, 1_500, 2_500, 3_100]) {
            for (const [way, run] of ways) {
                const leftAt = silentAt + later;
                const sends = await playRequests([
                    { at: silentAt, run: table => table.silenceConnections() },
                    { at: leftAt, run },
                ]);
                const bound = Math.max(silentAt + usualContactTime, leftAt + drainTime);
                const late = Math.max(0, ...sends) - bound;
                if (late > 0) {
                    wrong.push(`silent at ${silentAt}, left ${way} ${later} later: ${late} too late`);
                }
            }
        }
    }
    assert.deepEqual(wrong, []);
});

test("the same holds where a site is given another time in contact", async () => {
    const wrong: string[] = [];
    for (const contactTime of [2_000, 4_000, 5_000]) {
        for (const silentAt of [6_000, 6_700, 7_400, 8_100, 8_800, 9_500]) {
            const leftAt = silentAt + 500;
            const sends = await playRequests([
                { at: silentAt, run: table => table.silenceConnections() },
                { at: leftAt, run: leave.silently },
            ], contactTime);
            const late = Math.max(0, ...sends) - Math.max(silentAt + contactTime, leftAt + drainTime);
            if (late > 0) {
                wrong.push(`time in contact ${contactTime}, silent at ${silentAt}: ${late} too late`);
            }
        }
    }
    assert.deepEqual(wrong, []);
});

test("a target that left around an outage of the store gets no request after its draining time", async () => {
    const wrong: string[] = [];
    for (const awayAt of moments) {
        for (const outage of [300, 1_200, 2_500, 6_000]) {
            for (const later of [100, 1_100, 3_300]) {
                const backAt = awayAt + outage;
                const leftAt = backAt + later;
                const sends = await playRequests([
                    { at: awayAt, run: table => table.setAway(true) },
                    { at: backAt, run: table => table.setAway(false) },
                    { at: leftAt, run: leave.silently },
                ]);
                const bound = Math.max(backAt + usualContactTime, leftAt + drainTime);
                const late = Math.max(0, ...sends) - bound;
                if (late > 0) {
                    wrong.push(`away at ${awayAt} for ${outage}, left ${later} after it: ${late} too late`);
                }
            }
        }
    }
    assert.deepEqual(wrong, []);
});

test("targets whose entries expired in an outage stay in use until the entries are back", async () => {
    const gaps: string[] = [];
    for (const awayAt of moments) {
        for (const outage of [4_000, 6_000]) {
            const backAt = awayAt + outage;
            const returnedAt = backAt + 1_900;
            const sends = await playRequests([
                { at: awayAt, run: table => table.setAway(true) },
                { at: backAt - 100, run: leave.silently },
                { at: backAt, run: table => table.setAway(false) },
                { at: returnedAt, run: table => table.put("a", leaver) },
            ]);
            const missed = sends.filter(at => at > awayAt && at <= returnedAt + tail).length;
            const expected = Math.floor((returnedAt + tail - awayAt) / step);
            if (missed < expected - 1) {
                gaps.push(`away at ${awayAt} for ${outage}: ${expected - missed} requests went elsewhere`);
            }
        }
    }
    assert.deepEqual(gaps, []);
});
