import { type AdapterSpec, type ModelSpec, type PlacementSpec, type TargetSpec } from "@waxwingspar/config";
import { type Order } from "@waxwingspar/engine";
import { type RefusedVersion } from "../orders/Refusals.js";
import { type Observation } from "../orders/TargetPort.js";

/**
 * The state of a target in a view.
 *
 * @public
 */
export interface SiteTarget {
    readonly name: string;
    readonly spec: TargetSpec;
    /** False once the target has been missing from membership for longer than the grace period. */
    readonly alive: boolean;
    /** True if membership currently reports the target as live. Only then does it count towards serving capacity. */
    readonly present: boolean;
    /** The latest report under the current fence, if any. */
    readonly observation?: Observation;
    /** The monotonic time at which that report was requested. */
    readonly observedAt?: number;
    /** True if the report shows the effect of every order sent to the target, and none can still take effect. */
    readonly settled: boolean;
    /** Model versions that the target has recently and repeatedly refused to load. */
    readonly refused: readonly RefusedVersion[];
}

/**
 * A placement in the configuration.
 *
 * @public
 */
export interface SitePlacement {
    readonly name: string;
    readonly spec: PlacementSpec;
    readonly resourceVersion: number;
}

/**
 * A model, and the number of its pipelines that this data centre is to hold.
 *
 * @public
 */
export interface SiteModel {
    readonly name: string;
    readonly spec: ModelSpec;
    /** Number of pipelines that this data centre is to hold. */
    readonly wanted: number;
}

/**
 * An adapter in the configuration.
 *
 * @public
 */
export interface SiteAdapter {
    readonly name: string;
    readonly spec: AdapterSpec;
}

/**
 * The input of planning for one data centre: the configuration in force and the reports of its targets. No other state
 * is kept between steps, so any process can continue.
 *
 * @public
 */
export interface SiteView {
    readonly dataCentre: string;
    readonly models: readonly SiteModel[];
    readonly adapters: readonly SiteAdapter[];
    readonly targets: ReadonlyMap<string, SiteTarget>;
    readonly placements: readonly SitePlacement[];
}

/**
 * A placement to create, change or delete.
 *
 * @public
 */
export interface PlacementChange {
    readonly name: string;
    /** The new spec, or undefined to delete the placement. */
    readonly spec?: PlacementSpec;
    /** The current version that the resource must have; 0 if it must not exist. */
    readonly resourceVersion: number;
}

/**
 * An order that the plan for a view requires.
 *
 * @public
 */
export interface SiteOrder {
    readonly target: string;
    readonly action: Order["action"];
    /** For loads: true if the load belongs to a pipeline that lacks few stages, such as one under repair. */
    readonly urgent: boolean;
    /** For loads: false while memory is insufficient and other loads or unloads on the target are pending. */
    readonly fits: boolean;
}

/** A model version that a target holds and that no placement or pin needs any more. @public */
export interface UnneededVersion {
    readonly target: string;
    readonly model: string;
    readonly version: string;
}

/**
 * The changes and orders of one step of a data centre's duty.
 *
 * @public
 */
export interface SitePlan {
    readonly changes: readonly PlacementChange[];
    readonly orders: readonly SiteOrder[];
    readonly unneededVersions: readonly UnneededVersion[];
    /** The state of each placement in the pipeline state chart, by placement name. */
    readonly pipelines: ReadonlyMap<string, string>;
    /** The state of each model in the rollout state chart, by model name. */
    readonly rollouts: ReadonlyMap<string, string>;
}
