import { MemoryObjectStore, MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { partitionOf } from "../routing/partitionOf.js";
import { ClaimJournals } from "./ClaimJournals.js";
import { claimOf, request } from "./testing/JournalSite.js";

// Covers a store that is restored from a copy after a partition got another owner and before that owner has read it.
test("claims of a partition that another process now serves are still reported for some minutes", async () => {
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
