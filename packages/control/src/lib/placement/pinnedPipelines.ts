import { type TargetSpec } from "@waxwingspar/config";
import { type PipelineStage } from "./Pipeline.js";

/**
 * The layer ranges that operators have pinned to one target.
 *
 * @internal
 */
export interface PinnedTarget {
    readonly name: string;
    readonly holds: TargetSpec["holds"];
}

/**
 * Builds pipelines from the layer ranges that operators have pinned. The ranges of a pipeline are contiguous from the
 * first layer of the model to the last, and each range is used once.
 *
 * @returns The stages of each pipeline. Ranges that do not form a whole pipeline are left out.
 * @internal
 */
export function pinnedPipelines(
    targets: readonly PinnedTarget[],
    model: string,
    version: string,
    layers: number,
): PipelineStage[][] {
    const ranges = targets.flatMap(({ name, holds }) =>
        holds
            .filter(held => held.model === model && held.version === version)
            .map(({ first, last }): PipelineStage => ({ target: name, first, last }))
    );
    const byFirst = new Map<number, PipelineStage[]>();
    for (const range of ranges) {
        byFirst.set(range.first, [...byFirst.get(range.first) ?? [], range]);
    }
    const pipelines: PipelineStage[][] = [];
    for (let chain = takeChain(0, layers, byFirst); chain !== undefined; chain = takeChain(0, layers, byFirst)) {
        pipelines.push(chain);
    }
    return pipelines;
}

/**
 * Removes contiguous ranges from a layer to the last one from the map. Ranges that do not reach the end are dropped.
 */
function takeChain(
    first: number,
    layers: number,
    byFirst: Map<number, PipelineStage[]>,
): PipelineStage[] | undefined {
    if (first === layers) {
        return [];
    }
    const ranges = byFirst.get(first) ?? [];
    for (let range = ranges.shift(); range !== undefined; range = ranges.shift()) {
        const rest = takeChain(range.last + 1, layers, byFirst);
        if (rest !== undefined) {
            return [range, ...rest];
        }
    }
    return undefined;
}
