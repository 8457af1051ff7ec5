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

/** What a target holds of the wanted layers, if it holds all of them. @internal */
export function findHeld(target: SiteTarget, wanted: WantedLayers): HeldLayers | undefined {
    return target.observation?.info.held.find(held =>
        held.model === wanted.model && held.version === wanted.version
        && held.first <= wanted.first && wanted.last <= held.last
    );
}

/** The layers of a placement's stage. @internal */
export function stageLayers({ spec }: SitePlacement, { first, last }: PipelineStage): WantedLayers {
    return { model: spec.model, version: spec.version, first, last };
}

/**
 * Tells whether every stage of a placement is known to be ready to run: the target holds the layers, plays the serving
 * role, and no order under way can change that.
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
 * Tells whether some stage of a placement is known not to hold its layers. Targets that have not been observed get the
 * benefit of the doubt, since the placement was ready when its flag was set.
 *
 * @internal
 */
export function isUnloaded(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.some(stage => {
        const target = view.targets.get(stage.target);
        return target?.observation !== undefined && findHeld(target, stageLayers(placement, stage)) === undefined;
    });
}

/** Tells whether a target has refused to load a version. @internal */
export function isRefused(target: SiteTarget, wanted: Pick<WantedLayers, "model" | "version">): boolean {
    return target.refused.some(({ model, version }) => model === wanted.model && version === wanted.version);
}

/** Tells whether some stage of a placement cannot be loaded where it is. @internal */
export function isStuck(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.some(stage => {
        const target = view.targets.get(stage.target);
        const layers = stageLayers(placement, stage);
        return target !== undefined && isRefused(target, layers) && findHeld(target, layers) === undefined;
    });
}

/** Tells whether some stage's target is lost, or no longer declared. @internal */
export function isDamaged(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.some(({ target }) => view.targets.get(target)?.alive !== true);
}

/** Tells whether membership sees the targets of every stage now. @internal */
export function isPresent(placement: SitePlacement, view: SiteView): boolean {
    return placement.spec.stages.every(({ target }) => view.targets.get(target)?.present === true);
}
