import { MetricRegistry } from "@waxwingspar/telemetry";
import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotGrants } from "../admission/SlotGrants.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs } from "../testing/fixtures.js";
import { createGroupOfOne } from "../testing/SimulatedRouter.js";
import { StreamSite } from "../testing/StreamSite.js";

const seeds = [1, 2, 3, 4, 5];
/** Number of average requests for which a chain of "middle" targets has memory. */
const room = 5;
/** Longer than any request may take, in milliseconds. */
const untilDeadline = 21_000;

/** A site whose slots are granted by a gateway without others. */
function createSite(seed: number): StreamSite {
    return new StreamSite({
        seed,
        accelerator: "middle",
        createSlots: clock =>
            new SlotGrants({
                clock,
                random: seededRandom(seed),
                group: createGroupOfOne("dc-0"),
                observation: { logs: silentLogs(), metrics: new GatewayMetrics(new MetricRegistry(clock)) },
                chainLoad: () => 0,
            }),
    });
}

test("chains run as many requests as they have room for, and others are refused", async () => {
    for (const seed of seeds) {
        const site = createSite(seed);
        for (let stream = 0; stream < 3 * room; stream++) {
            site.open();
        }
        await site.clock.advanceAsync(untilDeadline);
        assert.deepEqual([site.arrivals, site.served.length, site.cutOff.length], [2 * room, 2 * room, 0]);
    }
});

// Guards against callers who arrive meanwhile taking the slots that streams in mid-answer need.
test("streams that lost their chain get the slots of the other one before new requests", async () => {
    for (const seed of seeds) {
        const site = createSite(seed);
        for (let stream = 0; stream < 2 * room; stream++) {
            site.open();
        }
        await site.clock.advanceAsync(500);
        assert.equal(site.arrivals, 2 * room);
        site.heads[0]?.crash();
        for (let time = 0; time < 1_500; time += 20) {
            site.open();
            await site.clock.advanceAsync(20);
        }
        await site.clock.advanceAsync(untilDeadline);
        const later = site.priorities.slice(2 * room);
        assert.ok(later.slice(0, room).every(priority => priority === 0), `seed ${seed}: ${later.join()}`);
        assert.equal(site.cutOff.length, 0, `seed ${seed}`);
        assert.equal(site.answers.slice(0, 2 * room).filter(({ statusCode }) => statusCode === 200).length, 2 * room);
    }
});
