import { type AdapterSpec, type ModelSpec, type PlacementSpec, type TargetSpec } from "@waxwingspar/config";
import { type Order } from "@waxwingspar/engine";
import { type RefusedVersion } from "../orders/Refusals.js";
import { type Observation } from "../orders/TargetPort.js";

/**
 * A target as the holder of a duty sees it.
 *
 * @public
 */
export interface SiteTarget {
    readonly name: string;
    readonly spec: TargetSpec;
    /** False once membership has missed the target for longer than the grace period. */
    readonly alive: boolean;
    /** True if membership sees the target now. Only then does it count as capacity that allows other steps. */
    readonly present: boolean;
    /** The latest report under the present fence, if there is one. */
    readonly observation?: Observation;
    /** The monotonic time at which that report was asked for. */
    readonly observedAt?: number;
    /** True if the report shows the effect of every order sent to the target, and none can still take effect. */
    readonly settled: boolean;
    /** Model versions that the target has refused to load several times, not long ago. */
    readonly refused: readonly RefusedVersion[];
}

/**
 * A placement as the configuration holds it.
 *
 * @public
 */
export interface SitePlacement {
    readonly name: string;
    readonly spec: PlacementSpec;
    readonly resourceVersion: number;
}

/**
 * A model, and what this data centre is to hold of it.
 *
 * @public
 */
export interface SiteModel {
    readonly name: string;
    readonly spec: ModelSpec;
    /** How many pipelines this data centre is to hold. */
    readonly wanted: number;
}

/**
 * An adapter as the configuration holds it.
 *
 * @public
 */
export interface SiteAdapter {
    readonly name: string;
    readonly spec: AdapterSpec;
}

/**
 * Everything that decisions about one data centre rest on: the configuration in force and what targets have reported.
 * Nothing else is remembered from one decision to the next, so any process can carry on.
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
    /** Undefined to delete. */
    readonly spec?: PlacementSpec;
    /** The version that the resource must have; 0 means that it must not exist. */
    readonly resourceVersion: number;
}

/**
 * An order that follows from a view.
 *
 * @public
 */
export interface SiteOrder {
    readonly target: string;
    readonly action: Order["action"];
    /** For loads: true if it replaces a failed stage of a pipeline that was serving. */
    readonly urgent: boolean;
    /** For loads: false while there is no room and something else still goes or comes. */
    readonly fits: boolean;
}

/** A model version on a target that no placement or pin needs any more. @public */
export interface Leftover {
    readonly target: string;
    readonly model: string;
    readonly version: string;
}

/**
 * What a step of the duty of a data centre is to do.
 *
 * @public
 */
export interface SitePlan {
    readonly changes: readonly PlacementChange[];
    readonly orders: readonly SiteOrder[];
    readonly leftovers: readonly Leftover[];
    /** The state of each placement in the chart of pipelines, by its name. */
    readonly pipelines: ReadonlyMap<string, string>;
    /** The state of each model in the chart of rollouts, by its name. */
    readonly rollouts: ReadonlyMap<string, string>;
}
