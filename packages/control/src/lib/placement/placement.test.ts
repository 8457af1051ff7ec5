import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPipelines } from "./createPipelines.js";
import { pinnedPipelines } from "./pinnedPipelines.js";
import { type PipelineStage, type PlacementModel, type PlacementTarget } from "./Pipeline.js";
import { replaceStages } from "./replaceStages.js";
import { replicaShares } from "./replicaShares.js";
import { splitLayers } from "./splitLayers.js";
import { defaultCosts, layerCapacity, pipelineTime } from "./stageTime.js";

const seed = Number(process.env["SEED"] ?? Date.now() % 1_000_000_007);

const targets = fc.array(
    fc.record({
        memory: fc.integer({ min: 0, max: 12 }),
        speed: fc.constantFrom(1, 2, 4, 7),
        bandwidth: fc.constantFrom(1e7, 1e8, 1e9),
        latency: fc.constantFrom(0.05, 0.5, 5),
    }),
    { minLength: 1, maxLength: 40 },
).map(list => list.map((target, index): PlacementTarget => ({ name: `t${index}`, ...target })));

const models = fc.record({ layers: fc.integer({ min: 1, max: 20 }), activationBytes: fc.constantFrom(1e3, 1e5) })
    .map((model): PlacementModel => ({ name: "m", version: "v", layerBytes: 1, ...model }));

function assertWhole(stages: readonly PipelineStage[], model: PlacementModel, of: readonly PlacementTarget[]): void {
    const byName = new Map(of.map(target => [target.name, target]));
    let next = 0;
    for (const { target, first, last } of stages) {
        assert.equal(first, next);
        assert.ok(last - first + 1 <= layerCapacity(byName.get(target)!, model), `${target} is too small`);
        next = last + 1;
    }
    assert.equal(next, model.layers);
}

test("pipelines are whole, fit and share no target", context => {
    context.diagnostic(`seed ${seed}`);
    fc.assert(
        fc.property(targets, models, fc.integer({ min: 1, max: 8 }), (free, model, count) => {
            const pipelines = createPipelines(model, free, count);
            pipelines.forEach(stages => assertWhole(stages, model, free));
            const used = pipelines.flat().map(stage => stage.target);
            assert.equal(new Set(used).size, used.length);
            assert.ok(pipelines.length <= count);
            // At least one pipeline is created if the total memory fits one.
            const room = free.reduce((sum, target) => sum + layerCapacity(target, model), 0);
            const stages = free.filter(target => layerCapacity(target, model) > 0).length;
            assert.ok(pipelines.length > 0 || room < model.layers || stages > 16);
        }),
        { seed, numRuns: 2000 },
    );
});

test("a split is as good as the best of all splits", context => {
    context.diagnostic(`seed ${seed}`);
    fc.assert(
        fc.property(targets, models, (all, model) => {
            const few = all.slice(0, 3);
            const small = { ...model, layers: Math.min(model.layers, 9) };
            const stages = splitLayers(few, small, defaultCosts);
            const best = bestSplit(few, small);
            assert.equal(stages === undefined, best === Infinity);
            if (stages !== undefined) {
                const byName = new Map(few.map(target => [target.name, target]));
                assert.ok(pipelineTime(stages, byName, small).slowest <= best + 1e-9);
            }
        }),
        { seed, numRuns: 500 },
    );
});

/** Finds the time of the slowest stage of the best split by exhaustive search. */
function bestSplit(few: readonly PlacementTarget[], model: PlacementModel): number {
    const byName = new Map(few.map(target => [target.name, target]));
    const search = (index: number, first: number): number => {
        if (first === model.layers) {
            return 0;
        }
        const target = few[index];
        if (target === undefined) {
            return Infinity;
        }
        let best = search(index + 1, first);
        for (let count = 1; count <= Math.min(layerCapacity(target, model), model.layers - first); count++) {
            const stage = { target: target.name, first, last: first + count - 1 };
            const { slowest } = pipelineTime([stage], byName, model);
            best = Math.min(best, Math.max(slowest, search(index + 1, first + count)));
        }
        return best;
    };
    return search(0, 0);
}

test("a replacement moves only the failed stages", context => {
    context.diagnostic(`seed ${seed}`);
    let replaced = 0;
    fc.assert(
        fc.property(targets, models, fc.nat(), fc.nat(), (all, model, split, victim) => {
            const cut = split % all.length;
            const stages = createPipelines(model, all.slice(0, cut), 1, { spareShare: 0 })[0];
            if (stages === undefined) {
                return;
            }
            const failed = stages[victim % stages.length]!.target;
            const result = replaceStages(stages, name => name === failed, all.slice(cut), model);
            const stage = stages.find(({ target }) => target === failed)!;
            if (result === undefined) {
                const rooms = all.slice(cut).map(target => layerCapacity(target, model)).sort((a, b) => b - a);
                assert.ok((rooms[0] ?? 0) + (rooms[1] ?? 0) < stage.last - stage.first + 1);
                return;
            }
            replaced++;
            assertWhole(result, model, all);
            assert.deepEqual(
                result.filter(({ target }) => stages.some(old => old.target === target)),
                stages.filter(({ target }) => target !== failed),
            );
        }),
        { seed, numRuns: 1000 },
    );
    assert.ok(replaced > 100, `only ${replaced} replaced`);
});

test("slow links are grouped into as few pipelines as possible", () => {
    const fleet = Array.from({ length: 32 }, (_, index): PlacementTarget => ({
        name: `t${String(index).padStart(2, "0")}`,
        memory: 10,
        speed: 1,
        bandwidth: index % 4 === 0 ? 1e7 : 1e9,
        latency: 0.1,
    }));
    const model = { name: "m", version: "v", layers: 40, layerBytes: 1, activationBytes: 16_384 };
    const slow = new Set(fleet.filter(target => target.bandwidth === 1e7).map(target => target.name));
    const pipelines = createPipelines(model, fleet, 4, { spareShare: 0 });
    assert.equal(pipelines.length, 4);
    assert.equal(pipelines.filter(stages => stages.some(stage => slow.has(stage.target))).length, 1);
});

test("the replicas of data centres are proportional to memory and add up to the total", () => {
    const sites = ["a", "b", "c"].map((dataCentre, index) => ({ dataCentre, memory: index + 1 }));
    assert.deepEqual([...replicaShares(40, sites)], [["a", 7], ["b", 13], ["c", 20]]);
    assert.deepEqual([...replicaShares(1, sites).values()].reduce((sum, count) => sum + count), 1);
});

test("contiguous pinned ranges form pipelines", () => {
    const pin = (name: string, first: number, last: number) => ({
        name,
        holds: [{ model: "m", version: "v", first, last }],
    });
    const pins = [pin("a", 0, 4), pin("b", 5, 9), pin("c", 0, 3), pin("d", 4, 9), pin("e", 0, 4), pin("f", 2, 9)];
    const pipelines = pinnedPipelines(pins, "m", "v", 10).map(stages => stages.map(stage => stage.target).join(""));
    assert.deepEqual(pipelines.sort(), ["ab", "cd"].sort());
});
