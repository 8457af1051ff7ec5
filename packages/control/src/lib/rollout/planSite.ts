import { type PlacementSpec } from "@waxwingspar/config";
import { createPipelines } from "../placement/createPipelines.js";
import { type PipelineStage } from "../placement/Pipeline.js";
import { replaceStages } from "../placement/replaceStages.js";
import { withDefaults } from "../support/withDefaults.js";
import { Fleet, placementModel } from "./Fleet.js";
import { isDamaged, isLoaded, isStuck, isUnloaded } from "./holdings.js";
import { ModelPlan, type ModelPlanOptions } from "./ModelPlan.js";
import { freePlacementName } from "./placementName.js";
import { planOrders } from "./planOrders.js";
import { readChart } from "./readChart.js";
import { type PlacementChange, type SiteModel, type SitePlacement, type SitePlan, type SiteView } from "./SiteView.js";

/**
 * Options of {@link planSite}.
 *
 * @public
 */
export interface PlanOptions {
    /** The share of the wanted pipelines, from 0 to 1, that keeps serving during every planned step. */
    readonly capacityShare?: number;
    /** Maximum number of pipelines of one model that load at the same time in one data centre. */
    readonly parallelPipelines?: number;
    /** The share of the targets, from 0 to 1, that is kept free to replace failed ones. */
    readonly spareShare?: number;
}

interface PipelineFacts {
    readonly placement: SitePlacement;
    readonly dropped: boolean;
    readonly damaged: boolean;
    readonly replacement: readonly PipelineStage[] | undefined;
    /** Returns true if its targets are better used elsewhere than kept until the lost one returns. */
    readonly dissolvable: () => boolean;
    readonly view: SiteView;
}

const assessPipeline = readChart<PipelineFacts>("pipeline", {
    dropped: ({ dropped }) => dropped,
    damaged: ({ damaged }) => damaged,
    replaceable: ({ replacement }) => replacement !== undefined,
    dissolvable: ({ dissolvable }) => dissolvable(),
    ready: ({ placement }) => placement.spec.ready,
    loaded: ({ placement, view }) => isLoaded(placement, view),
    unloaded: ({ placement, view }) => isUnloaded(placement, view),
});

interface RolloutFacts {
    readonly surplus: readonly SitePlacement[];
    readonly plan: ModelPlan;
}

const assessRollout = readChart<RolloutFacts>("rollout", {
    surplus: ({ surplus }) => surplus.length > 0,
    complete: ({ plan }) => plan.isComplete,
    loadingEnough: ({ plan }) => plan.isLoadingEnough,
    fitsBeside: ({ plan }) => plan.findColocatedStages() !== undefined,
    fitsFree: ({ plan }) => plan.findFreePipelines().length > 0,
    staleLoading: ({ plan }) => plan.findStaleLoading().length > 0,
    mayYield: ({ plan }) => plan.findYieldCandidate() !== undefined,
});

/**
 * Plans the next step towards the wanted placements of one data centre. This is a pure function of the view: any
 * process can repeat it at any time, and each step leaves a state from which the next one can be planned.
 *
 * @public
 */
export function planSite(view: SiteView, options: PlanOptions = {}): SitePlan {
    return new SitePlanner(view, options).plan();
}

const defaults = { capacityShare: 0.9, parallelPipelines: 4, spareShare: 0.03 };

/** The share of lost targets, from 0 to 1, above which no damaged pipeline is dissolved. */
const widespreadLossShare = 0.25;

class SitePlanner {
    private readonly options: Required<PlanOptions>;
    private readonly fleet: Fleet;
    private readonly dropped = new Set<SitePlacement>();
    private readonly changes: PlacementChange[] = [];
    private readonly pipelines = new Map<string, string>();
    private readonly rollouts = new Map<string, string>();
    private readonly names: Set<string>;
    /** Model versions with a damaged pipeline that waits for its lost target to return. */
    private readonly waiting = new Set<string>();

    constructor(private readonly view: SiteView, options: PlanOptions) {
        this.options = withDefaults(defaults, options);
        this.fleet = new Fleet(view);
        this.names = new Set(view.placements.map(({ name }) => name));
    }

    plan(): SitePlan {
        const models = new Map(this.view.models.map(model => [model.name, model]));
        const orphaned = this.view.placements.filter(({ spec }) => !models.has(spec.model));
        orphaned.forEach(placement => this.dropped.add(placement));
        const plans = this.view.models.map(model => this.prepare(model));
        this.view.placements.forEach(placement => this.assess(placement, models.get(placement.spec.model)));
        plans.forEach(facts => this.advance(facts));
        const kept = this.view.placements.filter(placement => !this.dropped.has(placement));
        const { orders, unneededVersions } = planOrders(this.view, kept);
        const { changes, pipelines, rollouts } = this;
        return { changes, orders, unneededVersions, pipelines, rollouts };
    }

    /** Drops the invalid and surplus placements of a model and creates its plan. */
    private prepare(model: SiteModel): RolloutFacts {
        const own = this.view.placements.filter(({ spec }) => spec.model === model.name);
        const invalid = own.filter(placement => this.isInvalid(placement, model));
        invalid.forEach(placement => this.dropped.add(placement));
        const movable = own.filter(placement => !this.dropped.has(placement));
        const plan = new ModelPlan(model, movable, this.view, this.fleet, this.modelOptions(model));
        const surplus = plan.findSurplus();
        surplus.forEach(placement => this.dropped.add(placement));
        return { surplus, plan };
    }

    private isInvalid(placement: SitePlacement, model: SiteModel): boolean {
        const { spec } = placement;
        return !model.spec.versions.includes(spec.version)
            || spec.stages.at(-1)?.last !== model.spec.layers - 1
            || spec.stages.some(({ target }) => this.fleet.isPinned(target))
            || (!spec.ready && isStuck(placement, this.view));
    }

    private modelOptions(model: SiteModel): ModelPlanOptions {
        const weight = ({ spec, wanted }: SiteModel) => spec.layers * spec.layerBytes * wanted;
        const all = this.view.models.reduce((sum, other) => sum + weight(other), 0);
        const targets = this.fleet.placeable().length * (1 - this.options.spareShare);
        const share = all === 0 ? 0 : targets * weight(model) / all;
        return { ...this.options, pipelineSize: Math.max(1, share / Math.max(1, model.wanted)) };
    }

    /** Evaluates the state chart of one pipeline and performs its actions. */
    private assess(placement: SitePlacement, model: SiteModel | undefined): void {
        const dropped = this.dropped.has(placement);
        const damaged = isDamaged(placement, this.view);
        const replacement = damaged && !dropped && model !== undefined ? this.replace(placement, model) : undefined;
        const dissolvable = () => model !== undefined && this.isDissolvable(placement, model);
        const facts = { placement, dropped, damaged, replacement, dissolvable, view: this.view };
        const { state, actions } = assessPipeline(facts);
        this.pipelines.set(placement.name, state);
        for (const action of actions) {
            this.applyPipelineAction(action, placement, replacement);
        }
    }

    private replace({ spec }: SitePlacement, model: SiteModel): PipelineStage[] | undefined {
        const failed = (target: string) => !this.fleet.isAlive(target);
        const placed = { ...placementModel(model), version: spec.version };
        return replaceStages(spec.stages, failed, this.fleet.freeTargets(placed), placed);
    }

    /**
     * Checks whether a damaged pipeline may be dissolved, because its remaining targets can repair another damaged
     * pipeline of the same model version, or can hold the model without the lost target. Otherwise the pipeline keeps
     * its layers and waits for the lost target to return.
     */
    private isDissolvable(placement: SitePlacement, model: SiteModel): boolean {
        if (this.isWidespreadLoss()) {
            return false;
        }
        const key = `${placement.spec.model}@${placement.spec.version}`;
        if (this.waiting.has(key)) {
            return true;
        }
        const placed = { ...placementModel(model), version: placement.spec.version };
        const left = [...this.fleet.freeTargets(placed), ...this.fleet.targetsOf(placement.spec.stages)];
        const whole = createPipelines(placed, left, 1, { spareShare: 0 });
        if (whole.length === 0) {
            this.waiting.add(key);
        }
        return whole.length > 0;
    }

    /**
     * Checks whether many targets are lost at once. They have probably been cut off by a network failure and will
     * return with the layers that they hold.
     */
    private isWidespreadLoss(): boolean {
        const lost = [...this.view.targets.values()].filter(({ alive }) => !alive).length;
        return lost > 1 && lost > this.view.targets.size * widespreadLossShare;
    }

    private applyPipelineAction(
        action: string,
        placement: SitePlacement,
        replacement: readonly PipelineStage[] | undefined,
    ): void {
        const { spec } = placement;
        switch (action) {
            case "markReady":
                return this.change(placement, { ...spec, ready: true });
            case "markUnready":
                return this.change(placement, { ...spec, ready: false });
            case "replaceStages":
                return this.useReplacement(placement, replacement ?? []);
            case "remove":
                this.dropped.add(placement);
                return this.change(placement, undefined);
            default:
                throw new Error(`unknown action ${action} in the pipeline state chart`);
        }
    }

    private useReplacement(placement: SitePlacement, stages: readonly PipelineStage[]): void {
        const model = this.view.models.find(({ name }) => name === placement.spec.model);
        const kept = new Set(placement.spec.stages.map(({ target }) => target));
        if (model !== undefined) {
            this.fleet.allocate(stages.filter(({ target }) => !kept.has(target)), placementModel(model));
        }
        this.change(placement, { ...placement.spec, stages: [...stages], ready: false });
    }

    /** Evaluates the rollout state chart of one model and performs its actions. */
    private advance(facts: RolloutFacts): void {
        const { plan } = facts;
        const { state, actions } = assessRollout(facts);
        this.rollouts.set(plan.model.name, state);
        for (const action of actions) {
            this.applyRolloutAction(action, plan);
        }
    }

    private applyRolloutAction(action: string, plan: ModelPlan): void {
        const { name, spec } = plan.model;
        const place = (stages: readonly PipelineStage[]) => {
            this.fleet.allocate(stages, placementModel(plan.model));
            this.create(name, spec.current, stages);
        };
        switch (action) {
            case "retire":
                // The surplus was dropped before the pipelines were assessed.
                return;
            case "placeBeside":
                return [plan.findColocatedStages()].forEach(stages => stages && place(stages));
            case "placeFree":
                return plan.findFreePipelines().forEach(place);
            case "dropStaleLoading":
                return plan.findStaleLoading().forEach(placement => this.remove(placement));
            case "yieldOne":
                return [plan.findYieldCandidate()].forEach(placement => placement && this.remove(placement));
            default:
                throw new Error(`unknown action ${action} in the rollout state chart`);
        }
    }

    private remove(placement: SitePlacement): void {
        this.dropped.add(placement);
        this.change(placement, undefined);
    }

    /** Records a change. A later change of the same placement replaces an earlier one. */
    private change({ name, resourceVersion }: SitePlacement, spec: PlacementSpec | undefined): void {
        const earlier = this.changes.findIndex(change => change.name === name);
        if (earlier >= 0) {
            this.changes.splice(earlier, 1);
        }
        this.changes.push({ name, spec, resourceVersion });
    }

    private create(model: string, version: string, stages: readonly PipelineStage[]): void {
        const name = freePlacementName(model, this.view.dataCentre, this.names);
        this.names.add(name);
        this.changes.push({ name, resourceVersion: 0, spec: { model, version, stages: [...stages], ready: false } });
    }
}
