import assert from "node:assert/strict";
import { test } from "node:test";
import { PlainSlotSite } from "../testing/PlainSlotSite.js";
import { plainRoute } from "../testing/SimulatedRouter.js";
import { RequestGuard, type RequestGuardOptions } from "./RequestGuard.js";

const seeds = [1, 2, 3, 4, 5];
const loadTime = 3_000;
/** Requests a second that three targets with six slots each serve, at 130 ms each. */
const capacity = 138;
/** Least share of the capacity that is used under overload. */
const minUse = 0.85;

for (const gateways of [1, 6]) {
    test(`full plain targets get no request beyond their slots from ${gateways} gateways`, async () => {
        for (const seed of seeds) {
            const site = new PlainSlotSite({ seed, gateways });
            await site.run(capacity * 1.8, loadTime);
            const served = site.answers.filter(({ statusCode, isComplete }) => statusCode === 200 && isComplete);
            const refused = site.answers.filter(({ resultNumber }) => resultNumber === 1022);
            const use = served.length / (capacity * loadTime / 1_000);
            assert.equal(site.arrivalsAtFull, 0, `seed ${seed}`);
            assert.equal(
                served.length + refused.length,
                site.answers.length,
                `seed ${seed}: neither served nor refused`,
            );
            assert.ok(use >= minUse, `seed ${seed}: ${use} of the capacity used`);
        }
    });
}

test("plain targets that list no slots get what arrives, without a message", async () => {
    const site = new PlainSlotSite({ gateways: 6, isListed: false });
    await site.run(capacity / 3, loadTime);
    assert.equal(site.messages, 0);
    assert.ok(site.answers.every(({ statusCode }) => statusCode === 200));
});

// Guards against the first target in the list getting the first request of every gateway.
test("the first requests of gateways are spread over equal targets", async () => {
    const site = new PlainSlotSite({ gateways: 60, isListed: false });
    site.gateways.forEach(gateway => gateway.startPlain("question"));
    await site.clock.advanceAsync(10);
    const [least = 0, , most = 0] = [...site.arrivals].sort((a, b) => a - b);
    assert.ok(least * 2 > most, site.arrivals.join());
});

// Guards against a planned stop that cuts requests which wait, or tells that one has not run which has.
test("when all requests are ended, those that wait for a slot are refused as not run, the others are unknown", async () => {
    const ends: (() => void)[] = [];
    const createGuard = (options: RequestGuardOptions) =>
        new class extends RequestGuard {
            override start(run: () => void, end: () => void): void {
                ends.push(end);
                super.start(run, end);
            }
        }(options);
    const site = new PlainSlotSite({ targets: 1, slots: 2, createGuard });
    await site.run(0.001, 1);
    const answers = Array.from(
        { length: 5 },
        (_, number) => site.gateways[0]!.startPlain(`question ${number}`, { ...plainRoute, kind: "nonIdempotent" }),
    );
    const before = site.arrivals[0] ?? 0;
    await site.clock.advanceAsync(20);
    const ran = (site.arrivals[0] ?? 0) - before;
    assert.equal(ran, 2);
    ends.slice(-answers.length).forEach(end => end());
    assert.deepEqual(answers.map(({ statusCode }) => statusCode).sort(), [502, 502, 503, 503, 503]);
    assert.ok(answers.every(({ statusCode, hasRetryAfter }) => hasRetryAfter === (statusCode === 503)));
    await site.clock.advanceAsync(2_000);
    assert.equal((site.arrivals[0] ?? 0) - before, ran, "nothing runs later");
});
