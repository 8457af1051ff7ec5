import { MemoryObjectStore, MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { partitionOf } from "../routing/partitionOf.js";
import { ClaimJournals } from "./ClaimJournals.js";
import { claimOf, request } from "./testing/JournalSite.js";

// Another process has come to serve the partition, and the store comes back from a copy before that one has read it.
test("claims of a partition that is served elsewhere are still told for some minutes", async () => {
    const clock = new ManualClock();
    const table = new MemoryTableStore({ clock });
    const journals = new ClaimJournals({
        clock,
        table,
        objects: new MemoryObjectStore({ clock }),
        random: seededRandom(1),
    });
    const call = request("k");
    const granted = journals.acquire(call);
    await clock.advanceAsync(100, 10);
    const { runner } = claimOf(await granted);
    const asked = { series: `p${partitionOf(call, journals.partitions)}`, before: 10 };
    journals.keepOnly(new Set());
    assert.deepEqual(journals.report(asked).map(claim => claim.runner), [runner]);
    assert.deepEqual(journals.report({ ...asked, series: "another" }), []);
    clock.advance(600_001);
    assert.deepEqual(journals.report(asked), []);
});
