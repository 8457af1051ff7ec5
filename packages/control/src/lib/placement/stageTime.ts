import { type PipelineStage, type PlacementModel, type PlacementTarget } from "./Pipeline.js";

/**
 * The figures with which the placement compares targets. Only their ratio matters: how much a slow link weighs against
 * a slow accelerator.
 *
 * @public
 */
export interface CostOptions {
    /** Milliseconds that a layer takes on the slowest kind of accelerator for one step of a batch. */
    readonly layerTime: number;
    /** Positions whose activations pass from stage to stage in one step of a batch. */
    readonly batch: number;
}

/**
 * The costs that are assumed where none are given.
 *
 * @public
 */
export const defaultCosts: CostOptions = { layerTime: 0.5, batch: 32 };

const msPerSecond = 1000;

/**
 * The time to pass the activations of a batch on to the next stage, in milliseconds.
 *
 * @internal
 */
export function hopTime(target: PlacementTarget, model: PlacementModel, costs: CostOptions): number {
    return target.latency + costs.batch * model.activationBytes / target.bandwidth * msPerSecond;
}

/**
 * The time that a stage takes for one step of a batch, in milliseconds. The slowest stage bounds the throughput of its
 * pipeline; the sum of all stages is the time between two tokens.
 *
 * @internal
 */
export function stageTime(
    target: PlacementTarget,
    layers: number,
    model: PlacementModel,
    costs: CostOptions,
): number {
    return layers * costs.layerTime / target.speed + hopTime(target, model, costs);
}

/**
 * The time of the slowest stage and of all stages of a pipeline, in milliseconds.
 *
 * @public
 */
export interface PipelineTime {
    readonly slowest: number;
    readonly total: number;
}

/**
 * Estimates how long a pipeline takes for one step of a batch.
 *
 * @public
 */
export function pipelineTime(
    stages: readonly PipelineStage[],
    targets: ReadonlyMap<string, PlacementTarget>,
    model: PlacementModel,
    costs: CostOptions = defaultCosts,
): PipelineTime {
    let slowest = 0;
    let total = 0;
    for (const { target, first, last } of stages) {
        const found = targets.get(target);
        const time = found === undefined ? Infinity : stageTime(found, last - first + 1, model, costs);
        slowest = Math.max(slowest, time);
        total += time;
    }
    return { slowest, total };
}

/** How many layers of a model fit the memory of a target. @internal */
export function layerRoom(target: PlacementTarget, model: PlacementModel): number {
    return Math.floor(target.memory / model.layerBytes);
}
