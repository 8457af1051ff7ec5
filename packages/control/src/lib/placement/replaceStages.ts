import { type PipelineStage, type PlacementModel, type PlacementTarget } from "./Pipeline.js";
import { splitLayers } from "./splitLayers.js";
import { type CostOptions, defaultCosts, layerRoom, stageTime } from "./stageTime.js";

/**
 * Replaces the failed stages of a pipeline and leaves the others where they are, so that as few layers as possible are
 * loaded again.
 *
 * @param failed - Tells whether a stage's target is lost.
 * @param spares - Free targets. A stage that fits no single one is split over two.
 * @returns The whole pipeline; undefined if the spares do not suffice.
 * @public
 */
export function replaceStages(
    stages: readonly PipelineStage[],
    failed: (target: string) => boolean,
    spares: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions = defaultCosts,
): PipelineStage[] | undefined {
    const left = [...spares];
    const result: PipelineStage[] = [];
    for (const stage of stages) {
        if (!failed(stage.target)) {
            result.push(stage);
            continue;
        }
        const replacement = onOne(stage, left, model, costs) ?? onTwo(stage, left, model, costs);
        if (replacement === undefined) {
            return undefined;
        }
        result.push(...replacement);
        const used = new Set(replacement.map(part => part.target));
        left.splice(0, left.length, ...left.filter(spare => !used.has(spare.name)));
    }
    return result;
}

function onOne(
    { first, last }: PipelineStage,
    spares: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions,
): PipelineStage[] | undefined {
    const layers = last - first + 1;
    let best: PlacementTarget | undefined;
    let bestTime = Infinity;
    for (const spare of spares) {
        const time = layerRoom(spare, model) < layers ? Infinity : stageTime(spare, layers, model, costs);
        if (time < bestTime) {
            best = spare;
            bestTime = time;
        }
    }
    return best && [{ target: best.name, first, last }];
}

function onTwo(
    stage: PipelineStage,
    spares: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions,
): PipelineStage[] | undefined {
    const largest = [...spares].sort((a, b) => b.memory - a.memory || (a.name < b.name ? -1 : 1)).slice(0, 2);
    return splitLayers(largest, model, costs, stage);
}
