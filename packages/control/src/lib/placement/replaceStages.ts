import { type PipelineStage, type PlacementModel, type PlacementTarget } from "./Pipeline.js";
import { splitLayers } from "./splitLayers.js";
import { type CostOptions, defaultCosts, layerCapacity, stageTime } from "./stageTime.js";

/**
 * Replaces the failed stages of a pipeline and keeps the others on their targets, so that as few layers as possible are
 * loaded again.
 *
 * @param failed - Returns whether the target of a stage is lost.
 * @param spares - Free targets. A stage that does not fit any single one is split over two.
 * @returns The stages of the repaired pipeline; undefined if the spares do not suffice.
 * @public
 */
export function replaceStages(
    stages: readonly PipelineStage[],
    failed: (target: string) => boolean,
    spares: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions = defaultCosts,
): PipelineStage[] | undefined {
    const remaining = [...spares];
    const result: PipelineStage[] = [];
    for (const stage of stages) {
        if (!failed(stage.target)) {
            result.push(stage);
            continue;
        }
        const replacement = replaceWithOne(stage, remaining, model, costs)
            ?? replaceWithTwo(stage, remaining, model, costs);
        if (replacement === undefined) {
            return undefined;
        }
        result.push(...replacement);
        const used = new Set(replacement.map(part => part.target));
        remaining.splice(0, remaining.length, ...remaining.filter(spare => !used.has(spare.name)));
    }
    return result;
}

function replaceWithOne(
    { first, last }: PipelineStage,
    spares: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions,
): PipelineStage[] | undefined {
    const layers = last - first + 1;
    let best: PlacementTarget | undefined;
    let bestTime = Infinity;
    for (const spare of spares) {
        const time = layerCapacity(spare, model) < layers ? Infinity : stageTime(spare, layers, model, costs);
        if (time < bestTime) {
            best = spare;
            bestTime = time;
        }
    }
    return best && [{ target: best.name, first, last }];
}

function replaceWithTwo(
    stage: PipelineStage,
    spares: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions,
): PipelineStage[] | undefined {
    const largest = [...spares].sort((a, b) => b.memory - a.memory || (a.name < b.name ? -1 : 1)).slice(0, 2);
    return splitLayers(largest, model, costs, stage);
}
