import { type PipelineStage, type PlacementModel, type PlacementTarget } from "./Pipeline.js";

/**
 * The parameters of the cost estimate with which placement compares targets. Only their ratio matters: how much a slow
 * link costs compared with a slow accelerator.
 *
 * @public
 */
export interface CostOptions {
    /** Milliseconds that one step of a batch takes per layer on the slowest kind of accelerator. */
    readonly layerTime: number;
    /** Number of positions whose activations are sent from stage to stage in one step of a batch. */
    readonly batch: number;
}

/**
 * The default costs.
 *
 * @public
 */
export const defaultCosts: CostOptions = { layerTime: 0.5, batch: 32 };

const msPerSecond = 1000;

/**
 * Estimates the time to send the activations of a batch to the next stage, in milliseconds.
 *
 * @internal
 */
export function hopTime(target: PlacementTarget, model: PlacementModel, costs: CostOptions): number {
    return target.latency + costs.batch * model.activationBytes / target.bandwidth * msPerSecond;
}

/**
 * Estimates the time that a stage takes for one step of a batch, in milliseconds. The slowest stage limits the
 * throughput of its pipeline; the sum over all stages is the time between two tokens.
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
 * The time of the slowest stage of a pipeline and the sum of all its stages, in milliseconds.
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

/** Returns the number of layers of a model that fit the memory of a target. @internal */
export function layerCapacity(target: PlacementTarget, model: PlacementModel): number {
    return Math.floor(target.memory / model.layerBytes);
}
