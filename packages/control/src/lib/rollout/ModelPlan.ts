import { createPipelines } from "../placement/createPipelines.js";
import { type PipelineStage, type PlacementTarget } from "../placement/Pipeline.js";
import { countCapacity, type Fleet, placementModel } from "./Fleet.js";
import { isPresent, isUnloaded } from "./holdings.js";
import { type SiteModel, type SitePlacement, type SiteView } from "./SiteView.js";

/** How many old pipelines are tried when one is to make room for the current version. */
const yieldCandidates = 8;

/** @internal */
export interface ModelPlanOptions {
    /** The share of the wanted pipelines that keeps serving through every planned step. */
    readonly capacityShare: number;
    /** How many pipelines of one model may load at the same time. */
    readonly parallelPipelines: number;
    /** How many targets one pipeline of the model is to have on average. */
    readonly pipelineSize: number;
    /** The share of the targets that is kept free. */
    readonly spareShare: number;
}

/**
 * What can be done for one model now: the questions that the chart of rollouts asks, and their answers.
 *
 * @internal
 */
export class ModelPlan {
    /** Placements of the current version, and of versions that it replaces, that are to stay so far. */
    private fresh: SitePlacement[];
    private old: SitePlacement[];
    /** Placements that serve, as far as is known: ready, loaded, and all of their targets present. */
    private readonly serving: ReadonlySet<SitePlacement>;
    private knownCapacity: number | undefined;

    /** @param placements - The placements of the model that may stay. */
    constructor(
        readonly model: SiteModel,
        placements: readonly SitePlacement[],
        view: SiteView,
        private readonly fleet: Fleet,
        private readonly options: ModelPlanOptions,
    ) {
        this.fresh = placements.filter(({ spec }) => spec.version === model.spec.current);
        this.old = placements.filter(({ spec }) => spec.version !== model.spec.current);
        this.serving = new Set(placements.filter(placement => (
            placement.spec.ready && isPresent(placement, view) && !isUnloaded(placement, view)
        )));
    }

    private get wanted(): number {
        return this.model.wanted;
    }

    get isComplete(): boolean {
        return this.fresh.filter(this.serves).length >= this.wanted && this.fresh.every(this.serves);
    }

    /** True while as many new pipelines load as may at once, or as are missing. */
    get isLoadingEnough(): boolean {
        const loading = this.fresh.filter(placement => !this.serves(placement)).length;
        return this.fresh.length >= this.wanted || loading >= this.options.parallelPipelines;
    }

    /** Placements that can go without loss: capacity stays at what is wanted, or does not change at all. */
    findSurplus(): SitePlacement[] {
        const surplus: SitePlacement[] = [];
        for (const placement of this.retirementOrder()) {
            const isExcess = this.old.includes(placement) || this.fresh.length > this.wanted;
            if (isExcess && this.isSpared(placement)) {
                surplus.push(placement);
                this.drop(placement);
            }
        }
        return surplus;
    }

    /** The stages of an old pipeline on whose targets the current version fits too. */
    findBeside(): PipelineStage[] | undefined {
        const taken = new Set(this.fresh.flatMap(({ spec }) => spec.stages.map(stage => stage.target)));
        const model = placementModel(this.model);
        return this.old
            .filter(this.serves)
            .map(({ spec }) => spec.stages)
            .find(stages => stages.every(({ target }) => !taken.has(target)) && this.fleet.fitsBeside(stages, model));
    }

    /** New pipelines on free targets, as many as may load at once. */
    findFree(): PipelineStage[][] {
        const free = this.fleet.freeTargets(placementModel(this.model));
        const missing = this.wanted - this.fresh.length;
        const loading = this.fresh.filter(placement => !this.serves(placement)).length;
        return this.create(free, missing).slice(0, this.options.parallelPipelines - loading);
    }

    /** Pipelines of other versions that are not ready; they hold room that the current version could have. */
    findStaleLoading(): SitePlacement[] {
        return this.old.filter(({ spec }) => !spec.ready);
    }

    /** An old pipeline that may go before its successor is ready, and whose targets make room for it. */
    findYield(): SitePlacement | undefined {
        const free = this.fleet.freeTargets(placementModel(this.model));
        const floor = Math.ceil(this.options.capacityShare * this.wanted);
        if (this.capacity() <= floor) {
            return undefined;
        }
        // The old pipelines are alike, so a few tell whether giving one up makes room.
        return this.old.slice(0, yieldCandidates).find(({ spec }) => (
            this.create([...free, ...this.fleet.targetsOf(spec.stages)], 1).length > 0
        ));
    }

    private create(free: readonly PlacementTarget[], missing: number): PipelineStage[][] {
        const { pipelineSize, spareShare } = this.options;
        const count = Math.min(missing, Math.max(1, Math.round(free.length / pipelineSize)));
        const model = placementModel(this.model);
        const maxStages = Math.ceil(pipelineSize);
        const usual = createPipelines(model, free, count, { spareShare, maxStages, maxTargets: this.budget(count) });
        return usual.length > 0 ? usual : createPipelines(model, free, 1, { spareShare: 0 });
    }

    /** How many targets new pipelines may have, so that enough are left for those that are still missing afterwards. */
    private budget(count: number): number {
        const { pipelineSize } = this.options;
        const used = new Set(this.fresh.flatMap(({ spec }) => spec.stages.map(({ target }) => target))).size;
        const least = Math.floor(pipelineSize);
        const later = Math.max(0, this.wanted - this.fresh.length - count) * least;
        return Math.max(count * least, Math.floor(pipelineSize * this.wanted) - used - later);
    }

    private readonly serves = (placement: SitePlacement): boolean => {
        return this.serving.has(placement);
    };

    private capacity(): number {
        this.knownCapacity ??= countCapacity([...this.fresh, ...this.old], this.serves);
        return this.knownCapacity;
    }

    /** Other versions first, and pipelines that do not serve before those that do. */
    private retirementOrder(): SitePlacement[] {
        const idleFirst = (a: SitePlacement, b: SitePlacement) => Number(this.serves(a)) - Number(this.serves(b));
        return [...[...this.old].sort(idleFirst), ...[...this.fresh].reverse().sort(idleFirst)];
    }

    private isSpared(placement: SitePlacement): boolean {
        const before = this.capacity();
        if (!this.serves(placement)) {
            return before >= this.wanted;
        }
        // One pipeline less costs one at most, and nothing if another serves on the same targets.
        return before > this.wanted || (this.isShared(placement) && this.capacityWithout(placement) >= before);
    }

    private isShared(placement: SitePlacement): boolean {
        const own = new Set(placement.spec.stages.map(({ target }) => target));
        return [...this.fresh, ...this.old].some(other =>
            other !== placement && this.serves(other) && other.spec.stages.some(({ target }) => own.has(target))
        );
    }

    private capacityWithout(placement: SitePlacement): number {
        const rest = [...this.fresh, ...this.old].filter(other => other !== placement);
        return countCapacity(rest, this.serves);
    }

    private drop(placement: SitePlacement): void {
        this.knownCapacity = undefined;
        this.fresh = this.fresh.filter(other => other !== placement);
        this.old = this.old.filter(other => other !== placement);
    }
}
