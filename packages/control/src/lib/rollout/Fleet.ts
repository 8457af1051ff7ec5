import {
    type PipelineStage,
    type PlacementModel,
    type PlacementTarget,
    placementTarget,
} from "../placement/Pipeline.js";
import { isRefused } from "./holdings.js";
import { type SiteModel, type SitePlacement, type SiteTarget, type SiteView } from "./SiteView.js";

/**
 * The targets of a data centre while one plan is made: which are free, and how much memory is spoken for.
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

    /** Targets on which nothing is placed, and that have not refused the version. */
    freeTargets(model: PlacementModel): PlacementTarget[] {
        return [...this.free.values()].filter(({ name }) => this.accepts(name, model));
    }

    /** Live targets that the placement may fill. */
    placeable(): SiteTarget[] {
        return [...this.view.targets.values()].filter(({ alive, spec }) =>
            alive && spec.service === undefined && spec.holds.length === 0
        );
    }

    isAlive(target: string): boolean {
        return this.view.targets.get(target)?.alive ?? false;
    }

    /** True if no pin speaks against placing layers on the target. */
    isPinned(target: string): boolean {
        return (this.view.targets.get(target)?.spec.holds.length ?? 0) > 0;
    }

    /** Takes the targets of new stages out of the free ones. */
    take(stages: readonly PipelineStage[], model: PlacementModel): void {
        this.reserve(stages, model.layerBytes);
        stages.forEach(({ target }) => this.free.delete(target));
    }

    /** Tells whether stages fit beside what is placed on their targets already. */
    fitsBeside(stages: readonly PipelineStage[], model: PlacementModel): boolean {
        return stages.every(({ target, first, last }) => {
            const found = this.view.targets.get(target);
            const used = (this.reserved.get(target) ?? 0) + (last - first + 1) * model.layerBytes;
            return found?.alive === true && this.accepts(target, model) && used <= toPlacement(found).memory;
        });
    }

    /** The targets of a pipeline, as if nothing were placed on them. */
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

/** The part of a model that the placement needs. @internal */
export function placementModel({ name, spec }: SiteModel): PlacementModel {
    const { layers, layerBytes, activationBytes, current } = spec;
    return { name, version: current, layers, layerBytes, activationBytes };
}

/**
 * How many pipelines can serve at the same time: those that are ready, whole, and share no target with another that
 * has been counted.
 *
 * @param placements - The most important first.
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
