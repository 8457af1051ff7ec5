import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { type Candidate } from "./candidates.js";
import { layerCapacity } from "./memory.js";
import { type Placement } from "./Placement.js";

/**
 * Moves the boundaries between ranges by as little as the capacity of the targets allows, so that the layers of a lost
 * range are spread over its neighbours and their neighbours. Candidates are inserted at the first gap when the
 * remaining targets do not suffice.
 */
export function shiftRanges(
    kept: readonly Placement[],
    candidates: readonly Candidate[],
    engine: Engine,
    concurrency: number,
): Placement[] | undefined {
    const capacityOf = (target: Target) => layerCapacity(engine, target.accelerator, concurrency);
    const members = kept.map(({ target, layers }) => ({ target, capacity: capacityOf(target), end: layers.end }));
    const gapIndex = kept.findIndex(({ layers }, index) => layers.first > (kept[index - 1]?.layers.end ?? 0));
    const position = gapIndex === -1 ? members.length : gapIndex;
    let room = members.reduce((sum, { capacity }) => sum + capacity, 0);
    for (const { target, capacity } of candidates) {
        if (room < engine.layers) {
            members.splice(position, 0, { target, capacity, end: kept[position]?.layers.first ?? engine.layers });
            room += capacity;
        }
    }
    if (room < engine.layers) {
        return undefined;
    }
    let first = 0;
    let roomAfter = room;
    const placements: Placement[] = [];
    for (const { target, capacity, end: currentEnd } of members) {
        roomAfter -= capacity;
        const end = Math.min(first + capacity, engine.layers, Math.max(currentEnd, first, engine.layers - roomAfter));
        if (end > first) {
            placements.push({ target, layers: { first, end } });
        }
        first = end;
    }
    return first === engine.layers ? placements : undefined;
}
