import assert from "node:assert/strict";
import { test } from "node:test";
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
