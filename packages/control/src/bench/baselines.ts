import { type PipelineStage, type PlacementModel, type PlacementTarget } from "../lib/placement/Pipeline.js";
import { layerCapacity } from "../lib/placement/stageTime.js";

/** Fills targets up to their memory in the order of declaration, one pipeline after the other. */
export function greedyByOrder(
    model: PlacementModel,
    targets: readonly PlacementTarget[],
    count: number,
): PipelineStage[][] {
    const pipelines: PipelineStage[][] = [];
    let stages: PipelineStage[] = [];
    let first = 0;
    for (const target of targets) {
        const layers = Math.min(layerCapacity(target, model), model.layers - first);
        if (pipelines.length === count || layers === 0) {
            continue;
        }
        stages.push({ target: target.name, first, last: first + layers - 1 });
        first += layers;
        if (first === model.layers) {
            pipelines.push(stages);
            stages = [];
            first = 0;
        }
    }
    return pipelines;
}

/** Divides the targets into equal groups in the order of declaration, and the layers into equal stages. */
export function equalSplit(
    model: PlacementModel,
    targets: readonly PlacementTarget[],
    count: number,
): PipelineStage[][] {
    const size = Math.floor(targets.length / count);
    const pipelines: PipelineStage[][] = [];
    for (let index = 0; index < count; index++) {
        const group = targets.slice(index * size, (index + 1) * size);
        const bounds = Array.from({ length: size + 1 }, (_, part) => Math.round(part * model.layers / size));
        const fits = group.every((target, part) => bounds[part + 1]! - bounds[part]! <= layerCapacity(target, model));
        if (fits) {
            pipelines.push(group.map(({ name }, part) => (
                { target: name, first: bounds[part]!, last: bounds[part + 1]! - 1 }
            )));
        }
    }
    return pipelines;
}
