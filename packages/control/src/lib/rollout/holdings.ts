import { type HeldLayers } from "@waxwingspar/engine";
import { type PipelineStage } from "../placement/Pipeline.js";
import { type SitePlacement, type SiteTarget, type SiteView } from "./SiteView.js";

/** A range of layers of a model version that a target is to hold. @internal */
export interface WantedLayers {
    readonly model: string;
    readonly version: string;
    readonly first: number;
    readonly last: number;
}

/** Returns the range held by a target that contains all wanted layers, if there is one. @internal */
export function findHeld(target: SiteTarget, wanted: WantedLayers): HeldLayers | undefined {
    return target.observation?.info.held.find(held =>
        held.model === wanted.model && held.version === wanted.version
        && held.first <= wanted.first && wanted.last <= held.last
    );
}

/** Returns the layers of a stage of a placement. @internal */
export function stageLayers({ spec }: SitePlacement, { first, last }: PipelineStage): WantedLayers {
    return { model: spec.model, version: spec.version, first, last };
}

/**
 * Checks whether every stage of a placement is known to be ready to run: its target holds the layers, does not have the
 * idle role, and no order in flight can change that.
 *
 * @internal
 */
export function isLoaded(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.every(stage => {
        const target = view.targets.get(stage.target);
        return target?.observation !== undefined && target.settled && target.observation.info.role !== "idle"
            && findHeld(target, stageLayers(placement, stage)) !== undefined;
    });
}

/**
 * Checks whether some target of a placement is known not to hold its layers. A target without a report is assumed to
 * hold them, since the ready flag is set only when all targets do.
 *
 * @internal
 */
export function isUnloaded(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.some(stage => {
        const target = view.targets.get(stage.target);
        return target?.observation !== undefined && findHeld(target, stageLayers(placement, stage)) === undefined;
    });
}

/** Checks whether a target has repeatedly refused to load a model version. @internal */
export function isRefused(target: SiteTarget, wanted: Pick<WantedLayers, "model" | "version">): boolean {
    return target.refused.some(({ model, version }) => model === wanted.model && version === wanted.version);
}

/** Checks whether some stage of a placement cannot be loaded on its target. @internal */
export function isStuck(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.some(stage => {
        const target = view.targets.get(stage.target);
        const layers = stageLayers(placement, stage);
        return target !== undefined && isRefused(target, layers) && findHeld(target, layers) === undefined;
    });
}

/** Checks whether the target of some stage is lost or no longer declared. @internal */
export function isDamaged(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.some(({ target }) => view.targets.get(target)?.alive !== true);
}

/** Checks whether membership currently reports the targets of all stages as live. @internal */
export function isPresent(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.every(({ target }) => view.targets.get(target)?.present === true);
}
