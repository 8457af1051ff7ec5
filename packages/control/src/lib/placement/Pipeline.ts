import { type ModelSpec, type PlacementSpec, type TargetSpec } from "@waxwingspar/config";

/** One stage of a pipeline: a target and the layers that it runs. @public */
export type PipelineStage = PlacementSpec["stages"][number];

/**
 * The properties of a model version that placement uses.
 *
 * @public
 */
export interface PlacementModel extends Pick<ModelSpec, "layers" | "layerBytes" | "activationBytes"> {
    readonly name: string;
    readonly version: string;
}

/**
 * The properties of a target that placement uses.
 *
 * @public
 */
export interface PlacementTarget {
    readonly name: string;
    /** Bytes of memory that are available for weights. */
    readonly memory: number;
    /** Speed relative to the slowest kind of accelerator, which has speed 1. */
    readonly speed: number;
    /** Bytes per second of the target's link. */
    readonly bandwidth: number;
    /** One-way latency of the target's link in milliseconds. */
    readonly latency: number;
}

/**
 * Extracts the properties that placement uses from the spec of a target.
 *
 * @public
 */
export function placementTarget(name: string, spec: TargetSpec): PlacementTarget {
    const { memory, speed } = spec.accelerator;
    return { name, memory, speed, bandwidth: spec.link.bandwidth, latency: spec.link.latency };
}
