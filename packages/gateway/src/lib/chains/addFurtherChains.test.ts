import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Target } from "../directory/Target.js";
import { testEngine, testTarget } from "../testing/fixtures.js";
import { addFurtherChains, withPlacements } from "./addFurtherChains.js";
import { buildChains } from "./buildChains.js";
import { layerCapacity } from "./memory.js";
import { planLayers } from "./planLayers.js";

/** The accelerators and the size of the KV cache of a measured overload. */
const engine = {
    ...testEngine,
    cacheBytesPerToken: 496_700,
    accelerators: [
        { name: "large", memory: 72_000, stepFactor: 2.4, prefillFactor: 1 },
        { name: "middle", memory: 14_400, stepFactor: 5.3, prefillFactor: 3 },
        { name: "small", memory: 21_600, stepFactor: 16, prefillFactor: 8 },
    ],
};

function createSite(counts: Readonly<Record<string, number>>): Target[] {
    const kinds = Object.entries(counts).flatMap(([kind, count]) => Array.from({ length: count }, () => kind));
    return kinds.map((kind, index) => testTarget(`t${index}`, kind));
}

function planned(targets: readonly Target[], isOn?: (mechanism: string) => boolean): Target[] {
    return withPlacements(targets, planLayers(targets, engine, { isOn }));
}

const measuredSites = [
    createSite({ large: 3, middle: 6, small: 7 }),
    createSite({ large: 1, middle: 9, small: 10 }),
    createSite({ large: 1, middle: 14, small: 5 }),
];
const sites = fc.record({ large: fc.nat(4), middle: fc.nat(16), small: fc.nat(16) }).map(createSite);

test("targets beside the first copy form a further chain", () => {
    for (const site of measuredSites) {
        const chains = buildChains("x", planned(site), engine);
        const rooms = chains.reduce((sum, { room }) => sum + room, 0);
        assert.ok(chains.length >= 2 && rooms > 180, `${rooms} requests on ${chains.length} chains`);
    }
});

test("the first copy is planned as without further chains", () => {
    fc.assert(
        fc.property(sites, site => {
            const withChains = planLayers(site, engine);
            const firstCopy = planLayers(site, engine, { isOn: mechanism => mechanism !== "second-copies" });
            assert.deepEqual(withChains.slice(0, firstCopy.length), firstCopy);
        }),
        { seed: 1, numRuns: 30 },
    );
});

test("only targets without layers get layers, and no more than they have memory for", () => {
    fc.assert(
        fc.property(sites, fc.nat(), (site, lost) => {
            const before = planned(site).filter((_, index) => index !== lost % Math.max(1, site.length));
            const spare = before.map((target, index) => index % 4 === 0 ? { ...target, layers: undefined } : target);
            for (const { target, layers } of addFurtherChains(spare, engine)) {
                assert.equal(target.layers, undefined);
                assert.ok(layers.end - layers.first <= layerCapacity(engine, target.accelerator, 0));
                assert.ok(layers.first >= 0 && layers.end <= engine.layers);
            }
        }),
        { seed: 2, numRuns: 30 },
    );
});

test("the loss of any one target leaves a chain where the memory suffices for a second copy", () => {
    const site = planned(createSite({ large: 1, middle: 9, small: 10 }));
    for (const lost of site) {
        assert.ok(buildChains("x", site.filter(target => target !== lost), engine).length > 0, lost.id);
    }
});

test("a target that restarts without layers completes its further chain again", () => {
    const site = planned(createSite({ large: 1, middle: 9, small: 10 }));
    const [first, further] = buildChains("x", site, engine);
    assert.ok(first !== undefined && further !== undefined);
    const shared = new Set(first.hops.map(({ targetId }) => targetId));
    const separate = further.hops.filter(({ targetId }) => !shared.has(targetId));
    assert.ok(separate.length > 0);
    for (const { targetId } of separate) {
        const restarted = site.map(target => target.id === targetId ? { ...target, layers: undefined } : target);
        const repaired = buildChains("x", planned(restarted), engine);
        assert.ok(repaired.length >= 2 && (repaired[1]?.room ?? 0) > 0.9 * further.room, targetId);
    }
});

test("no chains are added to a data centre without a first chain", () => {
    const targets = [testTarget("t1", "large", { first: 0, end: 20 }), testTarget("t2", "large")];
    assert.deepEqual(addFurtherChains(targets, engine), []);
});
