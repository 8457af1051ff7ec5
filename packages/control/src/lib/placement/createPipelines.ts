import { groupTargets } from "./groupTargets.js";
import { type PipelineStage, type PlacementModel, type PlacementTarget } from "./Pipeline.js";
import { splitLayers } from "./splitLayers.js";
import { type CostOptions, defaultCosts, hopTime, layerCapacity } from "./stageTime.js";

/**
 * Options of {@link createPipelines}.
 *
 * @public
 */
export interface CreateOptions {
    readonly costs?: CostOptions;
    /** The share of the targets, from 0 to 1, that is kept free to replace failed ones if memory allows. */
    readonly spareShare?: number;
    /** Maximum number of stages of a pipeline. */
    readonly maxStages?: number;
    /** Maximum number of targets of all new pipelines together. */
    readonly maxTargets?: number;
}

const defaultSpareShare = 0.03;
const defaultMaxStages = 16;

/**
 * Places whole pipelines of one model version on the free targets of one data centre. Returns fewer than requested if
 * there is not enough memory for all.
 *
 * @example
 * ```ts
 * const pipelines = createPipelines(model, targets, 40);
 * ```
 * @param free - Targets that hold nothing. Each is used at most once.
 * @returns The stages of each pipeline, in the order of their layers.
 * @public
 */
export function createPipelines(
    model: PlacementModel,
    free: readonly PlacementTarget[],
    count: number,
    options: CreateOptions = {},
): PipelineStage[][] {
    const { costs = defaultCosts, spareShare = defaultSpareShare, maxStages = defaultMaxStages } = options;
    const useful = free.filter(target => layerCapacity(target, model) > 0);
    if (count <= 0 || useful.length === 0) {
        return [];
    }
    const ranked = rankTargets(useful, model, costs);
    const groupCount = Math.min(count, useful.length);
    const withoutSpares = Math.min(useful.length, groupCount * maxStages, options.maxTargets ?? Infinity);
    const withSpares = Math.max(groupCount, Math.min(withoutSpares, Math.ceil(useful.length * (1 - spareShare))));
    const groups = groupTargets(ranked.slice(0, withSpares), groupCount, model, costs);
    const best = groups.length < groupCount && withSpares < useful.length
        ? groupTargets(ranked.slice(0, Math.max(withoutSpares, withSpares)), groupCount, model, costs)
        : groups;
    const chosen = best.length > groups.length ? best : groups;
    return chosen.flatMap(group => {
        const stages = splitLayers(group, model, costs);
        return stages === undefined ? [] : [stages];
    });
}

/**
 * Sorts targets by the speed that they add, including the cost of their link, so that the least useful become spares.
 */
function rankTargets(
    targets: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions,
): PlacementTarget[] {
    const typicalLayers = Math.max(1, model.layers / 8);
    const scores = new Map(targets.map(target => {
        const layers = Math.min(typicalLayers, layerCapacity(target, model));
        return [target, layers / (layers * costs.layerTime / target.speed + hopTime(target, model, costs))];
    }));
    return [...targets].sort((a, b) => scores.get(b)! - scores.get(a)! || (a.name < b.name ? -1 : 1));
}
