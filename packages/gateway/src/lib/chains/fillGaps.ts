import { type Engine } from "../configuration/Configuration.js";
import { type Candidate, takeBestFit } from "./candidates.js";
import { layerCapacity } from "./memory.js";
import { type Placement } from "./Placement.js";

/** Fills the gaps between ranges that are kept, without making any target give up layers. */

/** Whether the layers of a gap go first to candidates, or to the neighbouring targets up to their capacity. */
export type GapOrder = "candidatesFirst" | "neighboursFirst";

/**
 * Assigns the layers of gaps to candidates and to the targets next to the gaps.
 *
 * @param order - "neighboursFirst" needs fewer candidates for several gaps, but leaves the neighbours less memory for
 * requests. With "candidatesFirst" alone, a data centre with one idle target and two gaps has no chain.
 * @param concurrency - Number of requests for whose KV cache every target keeps memory free.
 * @returns Placements without gaps; undefined when the candidates and the spare capacity of the neighbours do not
 * suffice.
 */
export function fillGaps(
    order: GapOrder,
    kept: readonly Placement[],
    candidates: readonly Candidate[],
    engine: Engine,
    concurrency: number,
): Placement[] | undefined {
    const remaining = [...candidates];
    const placements: Placement[] = [];
    let covered = 0;
    for (const placement of [...kept, undefined]) {
        const gapEnd = placement?.layers.first ?? engine.layers;
        if (order === "neighboursFirst" && covered < gapEnd) {
            covered = extendLast(placements, gapEnd, engine, concurrency, covered);
        }
        const next = placement === undefined || order === "candidatesFirst"
            ? placement
            : extendDown(placement, covered, engine, concurrency);
        covered = placeCandidates(placements, remaining, covered, next?.layers.first ?? engine.layers);
        if (covered < gapEnd) {
            covered = extendLast(placements, gapEnd, engine, concurrency, covered);
        }
        if (next !== undefined) {
            const extended = extendDown(next, covered, engine, concurrency);
            if (extended.layers.first > covered) {
                return undefined;
            }
            placements.push(extended);
            covered = Math.max(covered, extended.layers.end);
        }
    }
    return covered >= engine.layers ? placements : undefined;
}

/** Assigns a gap to candidates, the best fitting first. @returns The first layer that is not covered. */
function placeCandidates(placements: Placement[], candidates: Candidate[], gapFirst: number, gapEnd: number): number {
    let covered = gapFirst;
    while (covered < gapEnd) {
        const candidate = takeBestFit(candidates, gapEnd - covered);
        if (candidate === undefined) {
            break;
        }
        const end = Math.min(gapEnd, covered + candidate.capacity);
        placements.push({ target: candidate.target, layers: { first: covered, end } });
        covered = end;
    }
    return covered;
}

/** Extends the last range up to a bound, within the capacity of its target. @returns The first uncovered layer. */
function extendLast(
    placements: Placement[],
    bound: number,
    engine: Engine,
    concurrency: number,
    covered: number,
): number {
    const last = placements.at(-1);
    if (last === undefined) {
        return covered;
    }
    const capacity = layerCapacity(engine, last.target.accelerator, concurrency);
    const end = Math.min(bound, last.layers.first + capacity);
    if (end <= last.layers.end) {
        return covered;
    }
    placements[placements.length - 1] = { target: last.target, layers: { first: last.layers.first, end } };
    return end;
}

/** Extends a range down to a bound, within the capacity of its target. */
function extendDown({ target, layers }: Placement, bound: number, engine: Engine, concurrency: number): Placement {
    const capacity = layerCapacity(engine, target.accelerator, concurrency);
    const first = Math.max(bound, layers.end - capacity);
    return { target, layers: { first: Math.min(layers.first, first), end: layers.end } };
}
