import { type Configuration } from "@waxwingspar/config";

/**
 * The number of complete pipelines that serve each version, by model.
 *
 * @internal
 */
export type PipelineCounts = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** The last layers of layer ranges, by the first layer of the range. */
type RangeEnds = Map<number, number[]>;

/**
 * Counts the pipelines that may serve requests: placements that are ready, and complete chains of layers that operators
 * have pinned.
 *
 * @internal
 */
export function pipelineCounts(configuration: Configuration): PipelineCounts {
    const counts = new Map<string, Map<string, number>>();
    for (const { spec } of configuration.list("placement")) {
        if (spec.ready) {
            add(counts, spec.model, spec.version, 1);
        }
    }
    for (const { model, version, ranges } of pinnedRanges(configuration)) {
        const layers = configuration.get("model", model)?.spec.layers ?? 0;
        add(counts, model, version, countChains(ranges, layers));
    }
    return counts;
}

function add(counts: Map<string, Map<string, number>>, model: string, version: string, count: number): void {
    const ofModel = counts.get(model) ?? new Map<string, number>();
    ofModel.set(version, (ofModel.get(version) ?? 0) + count);
    counts.set(model, ofModel);
}

interface PinnedRanges {
    readonly model: string;
    readonly version: string;
    readonly ranges: RangeEnds;
}

function pinnedRanges(configuration: Configuration): Iterable<PinnedRanges> {
    const pinned = new Map<string, PinnedRanges>();
    for (const { spec } of configuration.list("target")) {
        for (const { model, version, first, last } of spec.holds) {
            const key = `${model}\n${version}`;
            const known = pinned.get(key) ?? { model, version, ranges: new Map<number, number[]>() };
            pinned.set(key, known);
            const ends = known.ranges.get(first) ?? [];
            known.ranges.set(first, ends);
            ends.push(last);
        }
    }
    return pinned.values();
}

/** Counts disjoint chains of consecutive ranges from the first layer to the last. Removes the ranges that it uses. */
function countChains(ranges: RangeEnds, layers: number): number {
    let count = 0;
    while (layers > 0 && takeChain(ranges, 0, layers)) {
        count++;
    }
    return count;
}

/**
 * Removes a chain of ranges from a layer to the last layer. Ranges that lead to no complete chain are removed as well.
 */
function takeChain(ranges: RangeEnds, first: number, layers: number): boolean {
    if (first === layers) {
        return true;
    }
    const ends = ranges.get(first) ?? [];
    for (let last = ends.pop(); last !== undefined; last = ends.pop()) {
        if (takeChain(ranges, last + 1, layers)) {
            return true;
        }
    }
    return false;
}
