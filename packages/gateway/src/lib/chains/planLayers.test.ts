import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LayerRange, type Target } from "../directory/Target.js";
import { testEngine, testTarget } from "../testing/fixtures.js";
import { buildChain } from "./buildChain.js";
import { layerCapacity } from "./memory.js";
import { type Placement } from "./Placement.js";
import { planLayers } from "./planLayers.js";

function apply(targets: readonly Target[], placements: readonly Placement[]): Target[] {
    return targets.map(target => {
        const placement = placements.find(placement => placement.target.id === target.id);
        return placement === undefined ? target : { ...target, layers: placement.layers };
    });
}

const accelerators = fc.constantFrom("large", "middle", "small");
const sites = fc.array(accelerators, { minLength: 1, maxLength: 16 })
    .map(kinds => kinds.map((kind, index) => testTarget(`t${index}`, kind)));
const heldRanges = fc.array(fc.option(fc.tuple(fc.nat(79), fc.nat(20)), { nil: undefined }), {
    minLength: 16,
    maxLength: 16,
});

function withHeld(targets: readonly Target[], held: readonly ([number, number] | undefined)[]): Target[] {
    return targets.map((target, index) => {
        const range = held[index];
        const room = layerCapacity(testEngine, target.accelerator, 0);
        const layers: LayerRange | undefined = range === undefined
            ? undefined
            : { first: range[0], end: Math.min(testEngine.layers, range[0] + 1 + Math.min(range[1], room - 1)) };
        return { ...target, layers };
    });
}

test("every plan covers all layers or is empty", () => {
    fc.assert(fc.property(sites, heldRanges, (targets, held) => {
        const before = withHeld(targets, held);
        const placements = planLayers(before, testEngine);
        if (placements.length > 0) {
            assert.ok(buildChain("x", apply(before, placements), testEngine) !== undefined);
        }
    }));
});

test("no target is given more layers than its memory holds", () => {
    fc.assert(fc.property(sites, heldRanges, (targets, held) => {
        for (const { target, layers } of planLayers(withHeld(targets, held), testEngine)) {
            assert.ok(layers.end - layers.first <= layerCapacity(testEngine, target.accelerator, 0));
            assert.ok(layers.first >= 0 && layers.end <= testEngine.layers && layers.first < layers.end);
        }
    }));
});

test("planning again after a plan was carried out changes nothing", () => {
    fc.assert(fc.property(sites, targets => {
        const carriedOut = apply(targets, planLayers(targets, testEngine));
        const again = apply(carriedOut, planLayers(carriedOut, testEngine));
        assert.deepEqual(again.map(({ layers }) => layers), carriedOut.map(({ layers }) => layers));
    }));
});

test("no target occurs twice in a plan", () => {
    fc.assert(fc.property(sites, heldRanges, (targets, held) => {
        const ids = planLayers(withHeld(targets, held), testEngine).map(({ target }) => target.id);
        assert.equal(new Set(ids).size, ids.length);
    }));
});

test("the layers of a lost target are assigned to others, and the remaining targets keep theirs", () => {
    const targets = ["large", ...Array.from({ length: 9 }, () => "small")].map((kind, i) => testTarget(`t${i}`, kind));
    const carriedOut = apply(targets, planLayers(targets, testEngine));
    const chain = buildChain("x", carriedOut, testEngine);
    const lost = chain?.hops[1]?.targetId;
    const left = carriedOut.filter(({ id }) => id !== lost);
    const repaired = apply(left, planLayers(left, testEngine));
    assert.ok(buildChain("x", repaired, testEngine) !== undefined);
    const kept = chain?.hops.filter(({ targetId }) => targetId !== lost).map(({ targetId }) => targetId) ?? [];
    for (const id of kept) {
        const [before, after] = [carriedOut, repaired].map(list => list.find(target => target.id === id)?.layers);
        assert.ok(before !== undefined && after !== undefined);
        assert.ok(after.first <= before.first && after.end >= before.end);
    }
});

test("the plan is empty when the memory does not suffice for a complete copy", () => {
    assert.deepEqual(planLayers([testTarget("t0", "large")], testEngine), []);
});

test("with more targets, each holds fewer layers and keeps more memory for requests", () => {
    const few = Array.from({ length: 8 }, (_, i) => testTarget(`t${i}`, "small"));
    const many = Array.from({ length: 14 }, (_, i) => testTarget(`t${i}`, "small"));
    const largest = (targets: Target[]) =>
        Math.max(...planLayers(targets, testEngine).map(({ layers }) => layers.end - layers.first));
    assert.ok(largest(many) < largest(few));
});

test("a lost range that no idle target can take shifts only nearby boundaries", () => {
    const targets = Array.from(
        { length: 12 },
        (_, i) => testTarget(`t${i}`, "small", { first: i * 7, end: Math.min(80, i * 7 + 7) }),
    );
    const left = targets.filter(({ id }) => id !== "t5");
    const repaired = apply(left, planLayers(left, testEngine));
    assert.ok(buildChain("x", repaired, testEngine) !== undefined);
    const changed = left.filter(({ id, layers }) => {
        const after = repaired.find(target => target.id === id)?.layers;
        return after?.first !== layers?.first || after?.end !== layers?.end;
    });
    assert.ok(changed.length <= 6, `${changed.length} targets changed`);
});

test("the target that is shortest of memory gets a standby first", () => {
    const targets = [
        testTarget("t1", "large", { first: 0, end: 28 }),
        testTarget("t2", "large", { first: 28, end: 56 }),
        testTarget("t5", "large", { first: 56, end: 70 }),
        testTarget("t3", "small", { first: 70, end: 80 }),
        testTarget("t4", "small"),
    ];
    const [relief] = planLayers(targets, testEngine).filter(({ target }) => target.id === "t4");
    assert.equal(relief?.layers.first, 70);
});

const losses = fc.array(fc.nat(15), { minLength: 1, maxLength: 3 });

test("targets that serve requests give up no layers, whatever is lost, unless boundaries may be moved", () => {
    fc.assert(fc.property(sites, losses, (targets, lost) => {
        const carriedOut = apply(targets, planLayers(targets, testEngine));
        const inUse = new Set(buildChain("x", carriedOut, testEngine)?.hops.map(({ targetId }) => targetId));
        const left = carriedOut.filter((_, index) => !lost.includes(index));
        const repaired = apply(left, planLayers(left, testEngine, { inUse, mayShift: false }));
        for (const { id, layers } of left.filter(target => inUse.has(target.id))) {
            const after = repaired.find(target => target.id === id)?.layers;
            assert.ok(layers !== undefined && after !== undefined);
            assert.ok(after.first <= layers.first && after.end >= layers.end);
        }
    }));
});

/** Creates a data centre of two middle and eleven small targets that hold the layers of their plan. */
function planDataCentre(): Target[] {
    const kinds = ["middle", "middle", ...Array.from({ length: 11 }, () => "small")];
    const targets = kinds.map((kind, index) => testTarget(`t${index}`, kind));
    return apply(targets, planLayers(targets, testEngine));
}

/** Returns the milliseconds until every target of a plan has loaded the layers that it lacks. */
function loadTime(before: readonly Target[], placements: readonly Placement[]): number {
    const loads = placements.map(({ target, layers }) => {
        const held = before.find(({ id }) => id === target.id)?.layers;
        const isHeld = (layer: number) => held !== undefined && layer >= held.first && layer < held.end;
        return Array.from({ length: layers.end - layers.first }, (_, i) => layers.first + i)
            .filter(layer => !isHeld(layer)).length;
    });
    return Math.max(...loads) * testEngine.loadTime / testEngine.layers;
}

test("a data centre that lost one target has a chain again within 2 s, and no request is disturbed", () => {
    const targets = planDataCentre();
    const hops = buildChain("x", targets, testEngine)?.hops ?? [];
    const small = hops.filter(({ targetId }) =>
        targets.some(({ id, accelerator }) => id === targetId && accelerator === "small")
    );
    for (const { targetId } of small) {
        const inUse = new Set(hops.map(hop => hop.targetId));
        const left = targets.filter(({ id }) => id !== targetId);
        const repair = planLayers(left, testEngine, { inUse, mayShift: false });
        assert.ok(buildChain("x", apply(left, repair), testEngine) !== undefined, `without ${targetId}`);
        assert.ok(loadTime(left, repair) <= 2_000, `${loadTime(left, repair)} ms without ${targetId}`);
    }
});

test("with two gaps and one idle target, the neighbours take the smaller gap", () => {
    const held: (readonly [string, LayerRange | undefined])[] = [
        ["small", { first: 0, end: 8 }],
        ["small", { first: 10, end: 18 }],
        ["large", { first: 18, end: 45 }],
        ["large", { first: 53, end: 80 }],
        ["small", undefined],
    ];
    const targets = held.map(([kind, layers], index) => testTarget(`t${index}`, kind, layers));
    const repaired = apply(targets, planLayers(targets, testEngine, { mayShift: false }));
    assert.ok(buildChain("x", repaired, testEngine) !== undefined);
});
