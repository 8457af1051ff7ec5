import assert from "node:assert/strict";
import { test } from "node:test";
import { StreamSite } from "../testing/StreamSite.js";

const streams = 12;
/** Milliseconds in which each stream gets some events. */
const someEvents = 480;
/** Milliseconds for which the other chains have no room. */
const fullTime = 600;
/** Longer than any request may take, in milliseconds. */
const untilDeadline = 21_000;

test("streams whose target crashed resume over a chain that refused them at first", async () => {
    const site = new StreamSite({ maxAttempts: 2 });
    for (let stream = 0; stream < streams; stream++) {
        site.open();
    }
    await site.clock.advanceAsync(someEvents);
    const [head, ...others] = site.heads;
    others.forEach(other => other.isRefusing = true);
    head?.crash();
    await site.clock.advanceAsync(fullTime);
    others.forEach(other => other.isRefusing = false);
    await site.clock.advanceAsync(untilDeadline);
    assert.equal(site.cutOff.length, 0);
});
