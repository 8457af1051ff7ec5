import assert from "node:assert/strict";
import { test } from "node:test";
import { testEngine, testTarget } from "../testing/fixtures.js";
import { buildChain } from "./buildChain.js";
import { planLayers } from "./planLayers.js";

/** One large target and eighteen small ones, which hold the layers of one chain and some second copies. */
function planSite() {
    const targets = [
        testTarget("t0", "large"),
        ...Array.from({ length: 18 }, (_, index) => testTarget(`t${index + 1}`, "small")),
    ];
    const placements = planLayers(targets, testEngine);
    return placements.map(({ target, layers }) => ({ ...target, layers }));
}

// With the largest range first, the standbys of one large target left most of the small ones without any.
test("standbys cover as many targets of a chain as they can, so that few losses leave no chain", () => {
    const targets = planSite();
    const chain = buildChain("x", targets, testEngine);
    const hops = chain?.hops.map(({ targetId }) => targetId) ?? [];
    const bypassed = hops.filter(lost =>
        buildChain("x", targets.filter(({ id }) => id !== lost), testEngine) !== undefined
    );
    assert.ok(hops.length >= 4);
    assert.ok(bypassed.length >= hops.length - 1, `${bypassed.length} of ${hops.length} can be bypassed`);
});
