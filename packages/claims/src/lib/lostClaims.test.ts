import assert from "node:assert/strict";
import test from "node:test";
import { claimOf, request } from "./journal/testing/JournalSite.js";
import { ClaimSite } from "./testing/ClaimSite.js";

const another = { target: "b", incarnation: "1" };

/**
 * A caller's request ran twice: its claim was acknowledged, the store came back from a copy that lacked it, and the caller's repeat went
 * to a process that had never seen the claim. That process read an empty row and granted the key to another runner.
 */
test("a claim that a copy of the store lacks is granted to another runner by no process", async () => {
    const site = new ClaimSite();
    const first = site.process();
    claimOf(await first.acquire(request("old")));
    const restore = site.store.saveCopy();
    claimOf(await first.acquire(request("lost")));
    restore();
    const repeat = await site.process().acquire(request("lost", { runner: another }));
    assert.notEqual(repeat.unwrapOr(undefined)?.created, true);
});
