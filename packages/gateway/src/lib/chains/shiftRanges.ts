import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { type Card } from "./cards.js";
import { layerCapacity } from "./memory.js";
import { type Placement } from "./Placement.js";

/**
 * Moves the borders between ranges as little as the room of the targets allows, so that a lost range is taken up by its
 * neighbours and their neighbours, a few layers each. Free cards join at the first gap when the others do not suffice.
 */
export function shiftRanges(
    kept: readonly Placement[],
    cards: readonly Card[],
    engine: Engine,
    concurrency: number,
): Placement[] | undefined {
    const capacityOf = (target: Target) => layerCapacity(engine, target.accelerator, concurrency);
    const members = kept.map(({ target, layers }) => ({ target, capacity: capacityOf(target), end: layers.end }));
    const gapIndex = kept.findIndex(({ layers }, index) => layers.first > (kept[index - 1]?.layers.end ?? 0));
    const position = gapIndex === -1 ? members.length : gapIndex;
    let room = members.reduce((sum, { capacity }) => sum + capacity, 0);
    for (const { target, capacity } of cards) {
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
    for (const { target, capacity, end: wanted } of members) {
        roomAfter -= capacity;
        const end = Math.min(first + capacity, engine.layers, Math.max(wanted, first, engine.layers - roomAfter));
        if (end > first) {
            placements.push({ target, layers: { first, end } });
        }
        first = end;
    }
    return first === engine.layers ? placements : undefined;
}
