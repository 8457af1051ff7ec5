import { type Engine } from "../configuration/Configuration.js";
import { type LayerRange, type Target } from "../directory/Target.js";
import { rankCandidates } from "./candidates.js";
import { ampleRoom, requestRoom } from "./memory.js";
import { type Placement } from "./Placement.js";

/**
 * Adds standbys: targets without layers that the plan does not use hold a second copy of some ranges. Ranges whose
 * target is short of memory for requests come first, since the standby takes over part of its load; then the smallest
 * ranges: any target may be lost, so as many hops as possible should have a standby over which a chain can bypass them
 * immediately. A large range takes several standbys. Each standby is the fastest target left, since a chain that runs
 * over it reads all prompts through it. Targets that already hold layers keep them.
 */
export function addStandbys(
    placements: readonly Placement[],
    targets: readonly Target[],
    engine: Engine,
    concurrency: number,
): Placement[] {
    const used = new Set(placements.map(({ target }) => target));
    const unused = targets.filter(target => !used.has(target));
    const replicated = unused.flatMap(({ layers }) => layers ?? []);
    const available = rankCandidates(unused.filter(({ layers }) => layers === undefined), engine, concurrency);
    const ranges = placements
        .flatMap(({ target, layers }) => {
            const room = Math.min(ampleRoom, requestRoom(engine, { ...target, layers }, layers.end - layers.first));
            const overlapping = placements.flatMap(other => other.target === target ? [] : [other.layers]);
            return subtractRanges(layers, [...replicated, ...overlapping]).map(range => ({ ...range, room }));
        })
        .sort((a, b) => a.room - b.room || a.end - a.first - (b.end - b.first));
    const standbys: Placement[] = [];
    for (const range of ranges) {
        for (let first = range.first; first < range.end && available.length > 0;) {
            const candidate = available.shift();
            if (candidate === undefined) {
                break;
            }
            const end = Math.min(range.end, first + candidate.capacity);
            standbys.push({ target: candidate.target, layers: { first, end } });
            first = end;
        }
    }
    return [...placements, ...standbys];
}

/** Returns the parts of a range that none of the other ranges covers. */
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
