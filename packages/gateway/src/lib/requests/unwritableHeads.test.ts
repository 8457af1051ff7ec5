import assert from "node:assert/strict";
import { test } from "node:test";
import { PlainSlotSite } from "../testing/PlainSlotSite.js";
import { type SimulatedAnswer } from "../testing/SimulatedAnswer.js";
import { plainRoute } from "../testing/SimulatedRouter.js";
import { StreamSite } from "../testing/StreamSite.js";

/** Longer than any request may take, in milliseconds. */
const untilDeadline = 21_000;
const unknownOutcome = 502;

/** Sends a stream, whose writer refuses the first heads. */
async function stream(refusedHeads: number, isResumable: boolean): Promise<StreamSite> {
    const site = new StreamSite({ isResumable });
    site.open();
    site.answers[0]!.refusedHeads = refusedHeads;
    await site.clock.advanceAsync(untilDeadline);
    return site;
}

/** Sends a request to a plain service, whose writer refuses the first heads. */
async function call(refusedHeads: number, kind: typeof plainRoute.kind, failedShare = 0): Promise<SimulatedAnswer> {
    const site = new PlainSlotSite({ failedShare });
    const answer = site.gateways[0]!.startPlain("question", { ...plainRoute, kind });
    answer.refusedHeads = refusedHeads;
    await site.clock.advanceAsync(untilDeadline);
    return answer;
}

// Guards against successes without their head, and answers that never end, after a head that the writer refuses.
test("a stream whose head cannot be written goes on over another chain, whole and with its head", async () => {
    const site = await stream(1, true);
    assert.equal(site.served.length, 1);
    assert.equal(site.arrivals, 2);
});

test("a stream that may run once is refused as unknown when its head cannot be written", async () => {
    const { answers: [answer], arrivals } = await stream(1, false);
    assert.deepEqual([answer?.statusCode, answer?.isComplete, arrivals], [unknownOutcome, true, 1]);
});

test("a plain request whose head cannot be written is retried if it is idempotent, and refused as unknown if not", async () => {
    assert.equal((await call(1, "idempotent")).statusCode, 200);
    assert.equal((await call(1, "nonIdempotent")).statusCode, unknownOutcome);
});

test("a target's failure whose head cannot be written ends its request once", async () => {
    const answer = await call(1, "idempotent", 1);
    assert.deepEqual([answer.statusCode, answer.isComplete], [unknownOutcome, true]);
});
