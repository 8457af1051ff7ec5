import assert from "node:assert/strict";
import { test } from "node:test";
import { disturbConfigurationSite } from "../testing/disturbConfigurationSite.js";

for (let seed = 1; seed <= 10; seed++) {
    const hasPeerCopies = seed % 3 !== 0;
    const how = hasPeerCopies ? "handed on by peers" : "read from the store";

    test(`seed ${seed}, ${how}: every version is in force within its bound and sent about once`, async () => {
        const { site, late, regressed, events } = await disturbConfigurationSite(seed, hasPeerCopies);
        assert.deepEqual(late, [], events.join("; "));
        assert.deepEqual(regressed, []);
        assert.ok(site.documentsPerVersion <= 1.5, `${site.documentsPerVersion} documents a gateway and version`);
    });
}
