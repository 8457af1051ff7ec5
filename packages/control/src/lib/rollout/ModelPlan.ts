import { createPipelines } from "../placement/createPipelines.js";
import { type PipelineStage, type PlacementTarget } from "../placement/Pipeline.js";
import { countCapacity, type Fleet, placementModel } from "./Fleet.js";
import { isPresent, isUnloaded } from "./holdings.js";
import { type SiteModel, type SitePlacement, type SiteView } from "./SiteView.js";

/** Maximum number of old pipelines that are tried when one is to be removed to make room for the current version. */
const maxYieldCandidates = 8;

/** @internal */
export interface ModelPlanOptions {
    /** The share of the wanted pipelines, from 0 to 1, that keeps serving during every planned step. */
    readonly capacityShare: number;
    /** Maximum number of pipelines of one model that load at the same time. */
    readonly parallelPipelines: number;
    /** Average number of targets for one pipeline of the model. */
    readonly pipelineSize: number;
    /** The share of the targets, from 0 to 1, that is kept free. */
    readonly spareShare: number;
}

/**
 * Evaluates the guards of the rollout state chart for one model and finds the placements that its actions change.
 *
 * @internal
 */
export class ModelPlan {
    /** Placements of the model's current version that have not been dropped. */
    private currentPlacements: SitePlacement[];
    /** Placements of the versions that it replaces that have not been dropped. */
    private oldPlacements: SitePlacement[];
    /** Placements that serve: marked ready, not known to be unloaded, and with all targets seen by membership. */
    private readonly serving: ReadonlySet<SitePlacement>;
    private cachedCapacity: number | undefined;

    /** @param placements - The placements of the model that are not already dropped. */
    constructor(
        readonly model: SiteModel,
        placements: readonly SitePlacement[],
        view: SiteView,
        private readonly fleet: Fleet,
        private readonly options: ModelPlanOptions,
    ) {
        this.currentPlacements = placements.filter(({ spec }) => spec.version === model.spec.current);
        this.oldPlacements = placements.filter(({ spec }) => spec.version !== model.spec.current);
        this.serving = new Set(placements.filter(placement => (
            placement.spec.ready && isPresent(placement, view) && !isUnloaded(placement, view)
        )));
    }

    private get wanted(): number {
        return this.model.wanted;
    }

    get isComplete(): boolean {
        return this.currentPlacements.filter(this.serves).length >= this.wanted
            && this.currentPlacements.every(this.serves);
    }

    /** True while the maximum number of new pipelines is loading, or no more are missing. */
    get isLoadingEnough(): boolean {
        const loading = this.currentPlacements.filter(placement => !this.serves(placement)).length;
        return this.currentPlacements.length >= this.wanted || loading >= this.options.parallelPipelines;
    }

    /** Returns placements that can be removed: capacity stays at or above the wanted level, or does not change. */
    findSurplus(): SitePlacement[] {
        const surplus: SitePlacement[] = [];
        for (const placement of this.retirementOrder()) {
            const isExcess = this.oldPlacements.includes(placement) || this.currentPlacements.length > this.wanted;
            if (this.isRedundant(placement) || (isExcess && this.mayRemove(placement))) {
                surplus.push(placement);
                this.drop(placement);
            }
        }
        return surplus;
    }

    /** Returns the stages of a serving old pipeline on whose targets the current version fits as well. */
    findColocatedStages(): PipelineStage[] | undefined {
        const taken = new Set(this.currentPlacements.flatMap(({ spec }) => spec.stages.map(stage => stage.target)));
        const model = placementModel(this.model);
        return this.oldPlacements
            .filter(this.serves)
            .map(({ spec }) => spec.stages)
            .find(stages => stages.every(({ target }) => !taken.has(target)) && this.fleet.fitsBeside(stages, model));
    }

    /** Returns new pipelines on free targets, up to the number that may load at once. */
    findFreePipelines(): PipelineStage[][] {
        const free = this.fleet.freeTargets(placementModel(this.model));
        const missing = this.wanted - this.currentPlacements.length;
        const loading = this.currentPlacements.filter(placement => !this.serves(placement)).length;
        return this.create(free, missing).slice(0, this.options.parallelPipelines - loading);
    }

    /** Returns pipelines of other versions that are not ready. They use memory that the current version could use. */
    findStaleLoading(): SitePlacement[] {
        return this.oldPlacements.filter(({ spec }) => !spec.ready);
    }

    /**
     * Returns an old pipeline that may be removed before its successor is ready, and whose targets fit the successor.
     */
    findYieldCandidate(): SitePlacement | undefined {
        const free = this.fleet.freeTargets(placementModel(this.model));
        const floor = Math.ceil(this.options.capacityShare * this.wanted);
        if (this.capacity() <= floor) {
            return undefined;
        }
        // The old pipelines are similar, so trying a few shows whether removing one frees enough memory.
        return this.oldPlacements.slice(0, maxYieldCandidates).find(({ spec }) => (
            this.create([...free, ...this.fleet.targetsOf(spec.stages)], 1).length > 0
        ));
    }

    private create(free: readonly PlacementTarget[], missing: number): PipelineStage[][] {
        const { pipelineSize, spareShare } = this.options;
        const count = Math.min(missing, Math.max(1, Math.round(free.length / pipelineSize)));
        const model = placementModel(this.model);
        const maxStages = Math.ceil(pipelineSize);
        const usual = createPipelines(model, free, count, {
            spareShare,
            maxStages,
            maxTargets: this.targetBudget(count),
        });
        return usual.length > 0 ? usual : createPipelines(model, free, 1, { spareShare: 0 });
    }

    /**
     * Returns the number of targets for new pipelines that leaves enough for the pipelines still missing afterwards.
     */
    private targetBudget(count: number): number {
        const { pipelineSize } = this.options;
        const used =
            new Set(this.currentPlacements.flatMap(({ spec }) => spec.stages.map(({ target }) => target))).size;
        const least = Math.floor(pipelineSize);
        const later = Math.max(0, this.wanted - this.currentPlacements.length - count) * least;
        return Math.max(count * least, Math.floor(pipelineSize * this.wanted) - used - later);
    }

    private readonly serves = (placement: SitePlacement): boolean => {
        return this.serving.has(placement);
    };

    private capacity(): number {
        this.cachedCapacity ??= countCapacity([...this.currentPlacements, ...this.oldPlacements], this.serves);
        return this.cachedCapacity;
    }

    /** Lists other versions first and, within a version group, pipelines that do not serve before those that do. */
    private retirementOrder(): SitePlacement[] {
        const nonServingFirst = (a: SitePlacement, b: SitePlacement) => Number(this.serves(a)) - Number(this.serves(b));
        return [
            ...[...this.oldPlacements].sort(nonServingFirst),
            ...[...this.currentPlacements].reverse().sort(nonServingFirst),
        ];
    }

    /**
     * Checks whether a placement of the current version shares a target with another one of that version. The two
     * cannot serve at the same time, yet both count towards the wanted number, so the rollout would end with too few
     * that serve. The planner creates no such pair; a write that takes effect after the plan has changed does.
     */
    private isRedundant(placement: SitePlacement): boolean {
        return this.currentPlacements.includes(placement)
            && this.sharesTarget(placement, this.currentPlacements)
            && this.capacityWithout(placement) >= this.capacity();
    }

    private mayRemove(placement: SitePlacement): boolean {
        const before = this.capacity();
        if (!this.serves(placement)) {
            return before >= this.wanted;
        }
        // Removing a pipeline reduces capacity by at most one, and not at all if another serves on the same targets.
        return before > this.wanted || (this.isShared(placement) && this.capacityWithout(placement) >= before);
    }

    private isShared(placement: SitePlacement): boolean {
        return this.sharesTarget(placement, [...this.currentPlacements, ...this.oldPlacements].filter(this.serves));
    }

    private sharesTarget(placement: SitePlacement, others: readonly SitePlacement[]): boolean {
        const own = new Set(placement.spec.stages.map(({ target }) => target));
        return others.some(other => other !== placement && other.spec.stages.some(({ target }) => own.has(target)));
    }

    private capacityWithout(placement: SitePlacement): number {
        const rest = [...this.currentPlacements, ...this.oldPlacements].filter(other => other !== placement);
        return countCapacity(rest, this.serves);
    }

    private drop(placement: SitePlacement): void {
        this.cachedCapacity = undefined;
        this.currentPlacements = this.currentPlacements.filter(other => other !== placement);
        this.oldPlacements = this.oldPlacements.filter(other => other !== placement);
    }
}
