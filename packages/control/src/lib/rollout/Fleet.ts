import {
    type PipelineStage,
    type PlacementModel,
    type PlacementTarget,
    placementTarget,
} from "../placement/Pipeline.js";
import { isRefused } from "./holdings.js";
import { type SiteModel, type SitePlacement, type SiteTarget, type SiteView } from "./SiteView.js";

/**
 * Tracks, while one plan is created, which targets of a data centre are free and how much of their memory is reserved.
 *
 * @internal
 */
export class Fleet {
    private readonly reserved = new Map<string, number>();
    private readonly free: Map<string, PlacementTarget>;

    constructor(private readonly view: SiteView) {
        const layerBytes = new Map(view.models.map(({ name, spec }) => [name, spec.layerBytes]));
        for (const { spec } of view.placements) {
            this.reserve(spec.stages, layerBytes.get(spec.model) ?? 0);
        }
        for (const target of view.targets.values()) {
            const pins = target.spec.holds.map(held => ({ ...held, target: target.name }));
            pins.forEach(pin => this.reserve([pin], layerBytes.get(pin.model) ?? 0));
        }
        const free = this.placeable().filter(({ name }) => !this.reserved.has(name));
        this.free = new Map(free.map(target => [target.name, toPlacement(target)]));
    }

    /** Returns the targets on which nothing is placed and that have not refused the model version. */
    freeTargets(model: PlacementModel): PlacementTarget[] {
        return [...this.free.values()].filter(({ name }) => this.accepts(name, model));
    }

    /** Returns the live targets that are available for placement: without a service of their own and without pins. */
    placeable(): SiteTarget[] {
        return [...this.view.targets.values()].filter(({ alive, spec }) =>
            alive && spec.service === undefined && spec.holds.length === 0
        );
    }

    isAlive(target: string): boolean {
        return this.view.targets.get(target)?.alive ?? false;
    }

    /** Returns true if operators have pinned layers to the target. */
    isPinned(target: string): boolean {
        return (this.view.targets.get(target)?.spec.holds.length ?? 0) > 0;
    }

    /** Reserves the targets of new stages, which are then no longer free. */
    allocate(stages: readonly PipelineStage[], model: PlacementModel): void {
        this.reserve(stages, model.layerBytes);
        stages.forEach(({ target }) => this.free.delete(target));
    }

    /** Checks whether stages fit on their targets in addition to what is already placed there. */
    fitsBeside(stages: readonly PipelineStage[], model: PlacementModel): boolean {
        return stages.every(({ target, first, last }) => {
            const found = this.view.targets.get(target);
            const used = (this.reserved.get(target) ?? 0) + (last - first + 1) * model.layerBytes;
            return found?.alive === true && this.accepts(target, model) && used <= toPlacement(found).memory;
        });
    }

    /** Returns the live, unpinned targets of a pipeline with their full memory, as if nothing were placed on them. */
    targetsOf(stages: readonly PipelineStage[]): PlacementTarget[] {
        return stages.flatMap(({ target }) => {
            const found = this.view.targets.get(target);
            return found?.alive && !this.isPinned(target) ? [toPlacement(found)] : [];
        });
    }

    private accepts(target: string, { name, version }: PlacementModel): boolean {
        const found = this.view.targets.get(target);
        return found !== undefined && !isRefused(found, { model: name, version });
    }

    private reserve(stages: readonly PipelineStage[], layerBytes: number): void {
        for (const { target, first, last } of stages) {
            this.reserved.set(target, (this.reserved.get(target) ?? 0) + (last - first + 1) * layerBytes);
        }
    }
}

/** Extracts the properties of a model that placement uses. @internal */
export function placementModel({ name, spec }: SiteModel): PlacementModel {
    const { layers, layerBytes, activationBytes, current } = spec;
    return { name, version: current, layers, layerBytes, activationBytes };
}

/**
 * Counts the pipelines that can serve at the same time: those that serve and share no target with a pipeline that has
 * already been counted.
 *
 * @param placements - The placements, most important first.
 * @internal
 */
export function countCapacity(
    placements: readonly SitePlacement[],
    serves: (placement: SitePlacement) => boolean,
): number {
    const used = new Set<string>();
    let count = 0;
    for (const placement of placements) {
        const { stages } = placement.spec;
        if (serves(placement) && stages.every(({ target }) => !used.has(target))) {
            stages.forEach(({ target }) => used.add(target));
            count++;
        }
    }
    return count;
}

function toPlacement({ name, spec, observation }: SiteTarget): PlacementTarget {
    const placed = placementTarget(name, spec);
    return observation === undefined ? placed : { ...placed, memory: Math.min(placed.memory, observation.info.memory) };
}
