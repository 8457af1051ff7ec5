import { type ModelSpec, type PlacementSpec, type TargetSpec } from "@waxwingspar/config";

/** One stage of a pipeline: a target and the layers that it runs. @public */
export type PipelineStage = PlacementSpec["stages"][number];

/**
 * What the placement needs to know of a model version.
 *
 * @public
 */
export interface PlacementModel extends Pick<ModelSpec, "layers" | "layerBytes" | "activationBytes"> {
    readonly name: string;
    readonly version: string;
}

/**
 * What the placement needs to know of a target.
 *
 * @public
 */
export interface PlacementTarget {
    readonly name: string;
    /** Bytes of memory for weights that may be used. */
    readonly memory: number;
    /** Speed against the slowest kind of accelerator, which is 1. */
    readonly speed: number;
    /** Bytes per second of the target's link. */
    readonly bandwidth: number;
    /** One-way latency of the target's link in milliseconds. */
    readonly latency: number;
}

/**
 * Takes what the placement needs from the spec of a target.
 *
 * @public
 */
export function placementTarget(name: string, spec: TargetSpec): PlacementTarget {
    const { memory, speed } = spec.accelerator;
    return { name, memory, speed, bandwidth: spec.link.bandwidth, latency: spec.link.latency };
}
