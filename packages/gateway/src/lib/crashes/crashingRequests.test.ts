import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashingSite, type CrashingSiteOptions } from "../testing/CrashingSite.js";

/**
 * Guards against a request that crashes every target which runs it. Each crash interrupts all streams on the target,
 * the request is retried on the next chain, and its caller retries it at other gateways. While gateways kept no record
 * of a request beyond one attempt of its caller and exchanged none, each attempt crashed up to three targets: one
 * request crashed 14 to 20 targets, and was sent 7 and 8 times more after the third crash and the contact time, with a
 * single gateway 7 times.
 */

/** Milliseconds after which all gateways must know of the third crash. */
const contactTime = 3_000;
/** Maximum number of times that such a request may be sent after that, over all gateways. */
const maxRetries = 3;
const thirdCrashIndex = 2;

/** A period without contact to the store, on the site's clock; the limit on retries does not apply during it. */
interface Outage {
    readonly start: number;
    readonly end: number;
}

const noOutage: Outage = { start: Infinity, end: -Infinity };

/** Counts how often a request reached targets later than the contact time after its third crash. */
function countLateArrivals({ crashes, arrivals }: CrashingSite, body: string, outage = noOutage): number {
    const thirdCrashAt = crashes.get(body)?.[thirdCrashIndex] ?? Infinity;
    const hasContact = (time: number) => time < outage.start || time > outage.end + contactTime;
    return (arrivals.get(body) ?? []).filter(time => time > thirdCrashAt + contactTime && hasContact(time)).length;
}

/** Counts harmless requests that were refused for crashing targets, permanently or with a time to retry. */
function countRefusedBystanders({ outcomes }: CrashingSite) {
    const failures = outcomes
        .filter(({ body }) => !body.startsWith("culprit"))
        .flatMap(outcome => outcome.failures)
        .filter(({ result }) => result === requestCodes.crashesTargets.number);
    const permanent = failures.filter(({ hasRetryAfter }) => !hasRetryAfter).length;
    return { permanent, temporary: failures.length - permanent };
}

const seeds = [1, 2, 3];
const sizes: readonly (readonly [string, CrashingSiteOptions])[] = [
    ["one gateway", { dataCentres: 1, gatewaysEach: 1 }],
    ["6 gateways", { dataCentres: 3, gatewaysEach: 2 }],
    ["21 gateways", { dataCentres: 3, gatewaysEach: 7 }],
];

for (const [name, options] of sizes) {
    test(`${name}: a request that crashes its targets is sent at most three more times`, async () => {
        for (const seed of seeds) {
            const site = new CrashingSite({ ...options, seed });
            await site.run(60_000);
            assert.ok((site.crashes.get("culprit 0") ?? []).length >= 3);
            const sends = countLateArrivals(site, "culprit 0");
            assert.ok(sends <= maxRetries, `seed ${seed}: ${sends} sends`);
        }
    });
}

interface Scenario {
    readonly name: string;
    readonly options: CrashingSiteOptions;
    readonly begin?: (site: CrashingSite) => Outage;
}

const scenarios: readonly Scenario[] = [
    { name: "three such requests at the same time", options: { culprits: 3 } },
    { name: "targets that also crash for other reasons", options: { culprits: 2, crashesPerMinute: 20 } },
    {
        name: "messages between gateways lost, delayed and duplicated",
        options: { culprits: 2, loss: 0.1, duplicates: 0.1, maxDelay: 150 },
    },
    {
        name: "all gateways restart, twice",
        options: { culprits: 2 },
        begin: site => {
            [8_000, 25_000].forEach(delay => site.after(delay, () => site.restartGateways()));
            return noOutage;
        },
    },
    {
        name: "the gateways of a data centre are cut off from the others",
        options: { culprits: 2 },
        begin: site => {
            site.after(3_000, () => {
                site.group.isCut = (from, to) => (from.dataCentre === "dc-0") !== (to.dataCentre === "dc-0");
            });
            return noOutage;
        },
    },
    {
        name: "the store is unavailable for ten seconds",
        options: { culprits: 2 },
        begin: site => {
            const start = site.group.clock.now() + 5_000;
            site.after(5_000, () => site.store.setDown(true));
            site.after(15_000, () => site.store.setDown(false));
            return { start, end: start + 10_000 };
        },
    },
];

for (const { name, options, begin = () => noOutage } of scenarios) {
    test(`${name}: culprits are sent at most three more times, no other request is refused permanently`, async () => {
        for (const seed of seeds) {
            const site = new CrashingSite({ ...options, seed });
            const outage = begin(site);
            await site.run(40_000);
            for (const body of site.crashes.keys()) {
                const sends = countLateArrivals(site, body, outage);
                assert.ok(sends <= maxRetries, `seed ${seed}: ${sends} sends of ${body}`);
            }
            assert.equal(countRefusedBystanders(site).permanent, 0, `seed ${seed}`);
        }
    });
}

test("targets that crash by themselves, again and again: no request is refused for it", async () => {
    for (const seed of seeds) {
        const site = new CrashingSite({ culprits: 0, crashesPerMinute: 40, seed });
        await site.run(40_000);
        assert.deepEqual(countRefusedBystanders(site), { permanent: 0, temporary: 0 }, `seed ${seed}`);
    }
});
