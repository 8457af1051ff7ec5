import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { disturbLimitedSite } from "../testing/disturbLimitedSite.js";
import { LimitedSite, type LimitedSiteOptions } from "../testing/LimitedSite.js";

const seeds = [1, 2, 3];
const sizes: readonly (readonly [string, LimitedSiteOptions])[] = [
    ["one gateway", { dataCentres: 1, gatewaysEach: 1, chains: 1 }],
    ["6 gateways", { dataCentres: 3, gatewaysEach: 2 }],
    ["24 gateways", { dataCentres: 3, gatewaysEach: 8 }],
];

for (const [name, options] of sizes) {
    test(`${name}: a target gets no more requests from all together than its limit allows`, async () => {
        for (const seed of seeds) {
            const site = new LimitedSite({ ...options, seed });
            site.after(6_000, () => site.setLimit(3));
            await site.run(30_000);
            const excess = site.worstExcess;
            assert.ok(excess <= 0, `seed ${seed}: ${excess} requests too many in 4 s`);
        }
    });
}

for (const gatewaysEach of [2, 8]) {
    test(`${3 * gatewaysEach} gateways: a limit holds through losses, restarts, joins, cuts and changes of it`, async () => {
        for (const seed of [1, 2, 3, 4]) {
            const skew = seed % 2 === 0 ? 0 : 0.6;
            const site = new LimitedSite({ gatewaysEach, seed, skew, loss: 0.05, duplicates: 0.05, maxDelay: 60 });
            site.after(6_000, () => site.setLimit(4.1));
            disturbLimitedSite(site, { random: seededRandom(seed), startsIn: 9_000, dataCentres: 3 });
            await site.run(50_000);
            const excess = site.worstExcess;
            assert.ok(excess <= 0, `seed ${seed}: ${excess} requests too many in 4 s`);
        }
    });
}

test("a sole target's limit is used, and what it does not take is refused with the time until it takes more", async () => {
    for (const seed of seeds) {
        const site = new LimitedSite({ seed, chains: 1, load: 20 });
        site.after(6_000, () => site.setLimit(6));
        await site.run(40_000);
        const refused = site.answers.filter(({ statusCode }) => statusCode === 503);
        assert.ok(site.worstExcess <= 0 && site.use > 0.9, `seed ${seed}: ${site.use} of the limit used`);
        assert.ok(refused.length > 0);
        for (const { retryAfter = 0 } of refused) {
            assert.ok(retryAfter > 0 && retryAfter <= 0.5, `seed ${seed}: Retry-After ${retryAfter}`);
        }
    }
});

test("where another target has room, a limit refuses no caller", async () => {
    for (const seed of seeds) {
        const site = new LimitedSite({ seed });
        site.after(6_000, () => site.setLimit(0));
        await site.run(20_000);
        assert.equal(site.answers.filter(({ statusCode }) => statusCode === 503).length, 0);
    }
});

test("a target that took nothing is used again soon after it takes requests", async () => {
    for (const seed of seeds) {
        const site = new LimitedSite({ seed });
        site.after(6_000, () => site.setLimit(0));
        site.after(20_000, () => site.setLimit(undefined));
        await site.run(50_000);
        const late = site.arrivals.filter(({ at }) => at > site.group.clock.now() - 10_000).length;
        assert.ok(late >= 50, `seed ${seed}: ${late} requests in the last ten seconds`);
    }
});
