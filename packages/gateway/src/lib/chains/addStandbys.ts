import { type Engine } from "../configuration/Configuration.js";
import { type LayerRange, type Target } from "../directory/Target.js";
import { rankCards } from "./cards.js";
import { ampleRoom, requestRoom } from "./memory.js";
import { type Placement } from "./Placement.js";

/**
 * Lets empty targets that are left hold a second copy of some ranges: first of those whose target is short of room for
 * requests, which the second one relieves; then of the largest, so that a chain goes round a lost target at once. A target
 * that already holds layers stays as it is.
 */
export function addStandbys(
    placements: readonly Placement[],
    targets: readonly Target[],
    engine: Engine,
    concurrency: number,
): Placement[] {
    const used = new Set(placements.map(({ target }) => target));
    const unused = targets.filter(target => !used.has(target));
    const doubled = unused.flatMap(({ layers }) => layers ?? []);
    const left = rankCards(unused.filter(({ layers }) => layers === undefined), engine, concurrency);
    const ranges = placements
        .flatMap(({ target, layers }) => {
            const room = Math.min(ampleRoom, requestRoom(engine, { ...target, layers }, layers.end - layers.first));
            return subtractRanges(layers, doubled).map(range => ({ ...range, room }));
        })
        .sort((a, b) => a.room - b.room || b.end - b.first - (a.end - a.first));
    const standbys: Placement[] = [];
    for (const range of ranges) {
        for (let first = range.first; first < range.end && left.length > 0;) {
            const card = left.shift();
            if (card === undefined) {
                break;
            }
            const end = Math.min(range.end, first + card.capacity);
            standbys.push({ target: card.target, layers: { first, end } });
            first = end;
        }
    }
    return [...placements, ...standbys];
}

/** @returns The parts of a range that none of the others covers. */
function subtractRanges(range: LayerRange, others: readonly LayerRange[]): LayerRange[] {
    return others.reduce<LayerRange[]>(
        (parts, other) =>
            parts.flatMap(({ first, end }) => [
                { first, end: Math.min(end, other.first) },
                { first: Math.max(first, other.end), end },
            ]).filter(part => part.end > part.first),
        [range],
    );
}
