import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashingSite, type CrashingSiteOptions } from "../testing/CrashingSite.js";

/**
 * Users saw most of the model's requests fail for seconds, again and again. One request crashed each target that ran it: all streams
 * on the target were cut, the request went on to the next chain within its attempts, and its caller came back with it at other
 * gateways. 14 to 20 targets crashed under one request, and after the third and a time in contact it was sent 7 and 8 times more.
 *
 * Cause: nothing was remembered of a request beyond one attempt of its caller, and nothing was told to other gateways. Evidence: a run
 * of this site with one gateway broke the promise as well (7 sends), so it was not the number of gateways; with logs that name a
 * request over its attempts, each attempt crashed up to three targets however often it had come before.
 */

/** Milliseconds in which all gateways know of the third crash. */
const contactTime = 3_000;
/** Sends of such a request from then on, over all gateways and for good. */
const mostRetries = 3;
const thirdCrash = 2;

/** A span in which gateways are not in touch with the store, on the site's clock; the promise does not hold then. */
interface Outage {
    readonly start: number;
    readonly end: number;
}

const noOutage: Outage = { start: Infinity, end: -Infinity };

/** How often a request reached targets later than the time in contact after its third crash. */
function lateArrivals({ crashes, arrivals }: CrashingSite, body: string, outage = noOutage): number {
    const third = crashes.get(body)?.[thirdCrash] ?? Infinity;
    const isInTouch = (time: number) => time < outage.start || time > outage.end + contactTime;
    return (arrivals.get(body) ?? []).filter(time => time > third + contactTime && isInTouch(time)).length;
}

/** Requests that crash nothing and were refused for good, and those told to come back, as if they did. */
function refusedBystanders({ outcomes }: CrashingSite) {
    const failures = outcomes
        .filter(({ body }) => !body.startsWith("culprit"))
        .flatMap(outcome => outcome.failures)
        .filter(({ result }) => result === requestCodes.crashesTargets.number);
    const forGood = failures.filter(({ hasRetryAfter }) => !hasRetryAfter).length;
    return { forGood, forNow: failures.length - forGood };
}

const seeds = [1, 2, 3];
const sizes: readonly (readonly [string, CrashingSiteOptions])[] = [
    ["one gateway", { dataCentres: 1, gatewaysEach: 1 }],
    ["6 gateways", { dataCentres: 3, gatewaysEach: 2 }],
    ["21 gateways", { dataCentres: 3, gatewaysEach: 7 }],
];

for (const [name, options] of sizes) {
    test(`${name}: a request that crashes its targets is sent three times more at most`, async () => {
        for (const seed of seeds) {
            const site = new CrashingSite({ ...options, seed });
            await site.run(60_000);
            assert.ok((site.crashes.get("culprit 0") ?? []).length >= 3);
            const sends = lateArrivals(site, "culprit 0");
            assert.ok(sends <= mostRetries, `seed ${seed}: ${sends} sends`);
        }
    });
}

interface Trouble {
    readonly name: string;
    readonly options: CrashingSiteOptions;
    readonly begin?: (site: CrashingSite) => Outage;
}

const troubles: readonly Trouble[] = [
    { name: "three such requests at once", options: { culprits: 3 } },
    { name: "targets that crash by themselves as well", options: { culprits: 2, crashesPerMinute: 20 } },
    {
        name: "messages between gateways lost, late and repeated",
        options: { culprits: 2, loss: 0.1, duplicates: 0.1, maxDelay: 150 },
    },
    {
        name: "all gateways start again, twice",
        options: { culprits: 2 },
        begin: site => {
            [8_000, 25_000].forEach(delay => site.after(delay, () => site.restartGateways()));
            return noOutage;
        },
    },
    {
        name: "a data centre's gateways do not hear the others",
        options: { culprits: 2 },
        begin: site => {
            site.after(3_000, () => {
                site.group.isCut = (from, to) => (from.dataCentre === "dc-0") !== (to.dataCentre === "dc-0");
            });
            return noOutage;
        },
    },
    {
        name: "the store is away for ten seconds",
        options: { culprits: 2 },
        begin: site => {
            const start = site.group.clock.now() + 5_000;
            site.after(5_000, () => site.store.setDown(true));
            site.after(15_000, () => site.store.setDown(false));
            return { start, end: start + 10_000 };
        },
    },
];

for (const { name, options, begin = () => noOutage } of troubles) {
    test(`${name}: each culprit is sent three times more at most, and nobody else is refused for good`, async () => {
        for (const seed of seeds) {
            const site = new CrashingSite({ ...options, seed });
            const outage = begin(site);
            await site.run(40_000);
            for (const body of site.crashes.keys()) {
                const sends = lateArrivals(site, body, outage);
                assert.ok(sends <= mostRetries, `seed ${seed}: ${sends} sends of ${body}`);
            }
            assert.equal(refusedBystanders(site).forGood, 0, `seed ${seed}`);
        }
    });
}

test("targets that crash by themselves, again and again: no request is refused for it", async () => {
    for (const seed of seeds) {
        const site = new CrashingSite({ culprits: 0, crashesPerMinute: 40, seed });
        await site.run(40_000);
        assert.deepEqual(refusedBystanders(site), { forGood: 0, forNow: 0 }, `seed ${seed}`);
    }
});
