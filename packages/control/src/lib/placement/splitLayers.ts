import { type PipelineStage, type PlacementModel, type PlacementTarget } from "./Pipeline.js";
import { type CostOptions, layerCapacity, stageTime } from "./stageTime.js";

interface Share {
    readonly target: PlacementTarget;
    /** Number of layers that fit the target's memory. */
    readonly room: number;
    layers: number;
    /** The time of the stage with one more layer. */
    nextTime: number;
}

/**
 * Splits the layers of a model over targets so that the slowest stage is as fast as possible. Layers are assigned one
 * by one, each to the target whose stage is fastest with it. This is optimal, since a layer only adds to a stage's
 * time.
 *
 * @returns The stages in the order of the targets, without targets that got no layer; undefined if memory does not
 * suffice.
 * @internal
 */
export function splitLayers(
    targets: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions,
    range = { first: 0, last: model.layers - 1 },
): PipelineStage[] | undefined {
    const shares = targets.map(target => newShare(target, model, costs));
    for (let layer = range.first; layer <= range.last; layer++) {
        const best = fastest(shares);
        if (best === undefined) {
            return undefined;
        }
        best.layers++;
        best.nextTime = stageTime(best.target, best.layers + 1, model, costs);
    }
    return toStages(shares, range.first);
}

function newShare(target: PlacementTarget, model: PlacementModel, costs: CostOptions): Share {
    return { target, room: layerCapacity(target, model), layers: 0, nextTime: stageTime(target, 1, model, costs) };
}

function fastest(shares: readonly Share[]): Share | undefined {
    let best: Share | undefined;
    for (const share of shares) {
        if (share.layers < share.room && (best === undefined || share.nextTime < best.nextTime)) {
            best = share;
        }
    }
    return best;
}

function toStages(shares: readonly Share[], start: number): PipelineStage[] {
    const stages: PipelineStage[] = [];
    let first = start;
    for (const { target, layers } of shares) {
        if (layers > 0) {
            stages.push({ target: target.name, first, last: first + layers - 1 });
            first += layers;
        }
    }
    return stages;
}
