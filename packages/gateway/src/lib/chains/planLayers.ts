import { type Engine } from "../configuration/Configuration.js";
import { type LayerRange, type Target } from "../directory/Target.js";
import { allMechanisms, type MechanismSwitch } from "../Mechanisms.js";
import { layerCapacity, requestRoom } from "./memory.js";

/**
 * Plans which layers the targets of one data centre hold: one whole copy on the fastest accelerators, and standbys that
 * hold a second copy of some ranges on what is left.
 */

/** A target and the layers that it should hold. */
export interface Placement {
    readonly target: Target;
    readonly layers: LayerRange;
}

/**
 * Requests for whose KV cache every target of a chain has room when nothing is lost; no part of a chain with as much room
 * needs relief. Chosen: twice what a chain carries on a usual day.
 */
export const ampleRoom = 96;
/**
 * Requests for whose KV cache every target of a new chain keeps room, tried in this order; the last is the least. The first two
 * are for data centres with more memory than one chain of usual room needs: there requests, not losses, take it up. A target
 * takes no more than 134 requests as the first of a chain, so more would be of no use. 80 is a little below ample room, so that
 * some targets are left for second copies and lost ranges.
 */
const newChainLevels: readonly { readonly level: number; readonly spare: number; }[] = [
    { level: 128, spare: 0.3 },
    { level: 96, spare: 0.3 },
    ...[80, 56, 40, 24, 12].map(level => ({ level, spare: 0 })),
];
/** The same for chains that are repaired. */
const repairLevels = [80, 56, 40, 24, 12];
/** Time of one more hop against the reference's time for a whole step: transfers and waiting for the next pass. */
export const hopCost = 0.3;

/** What a plan must not touch, or may. */
export interface PlanOptions {
    /** Ids of targets that requests are on: they give up no layers, which would take until the last of these has ended. */
    readonly inUse?: ReadonlySet<string>;
    /** Whether borders between ranges may be moved when nothing else helps. Default true. */
    readonly mayShift?: boolean;
    readonly isOn?: MechanismSwitch;
}

/**
 * Plans one data centre. What targets hold already stays where it can, since every load takes seconds.
 *
 * @param targets - Its targets that are ready and believed to be well.
 * @returns What every planned target should hold; targets that are not named keep what they hold. Empty when the targets
 * cannot hold all layers.
 */
export function planLayers(targets: readonly Target[], engine: Engine, options: PlanOptions = {}): Placement[] {
    const { inUse = new Set(), mayShift = true, isOn = allMechanisms } = options;
    const kept = keepRanges(targets, engine);
    const tries = kept.length === 0
        ? newChainLevels.filter(step => hasSpare(targets, engine, step)).map(({ level }) => ({ level, plan: planAnew }))
        : repairs.filter(({ plan }) => plan === shiftRanges ? mayShift : plan === fillGaps || isOn("neighbours"));
    const idle = targets.filter(target =>
        !inUse.has(target.id) && kept.every(placement => placement.target !== target)
    );
    for (const { level, plan } of tries) {
        const filled = plan(kept, rankCards(idle, engine, level), engine, level);
        if (filled !== undefined) {
            return isOn("second-copies") ? addStandbys(filled, targets, engine, level) : filled;
        }
    }
    return [];
}

/** Whether targets with so much room hold a whole copy and a share of another one. */
function hasSpare(
    targets: readonly Target[],
    engine: Engine,
    step: { readonly level: number; readonly spare: number; },
): boolean {
    const capacity = rankCards(targets, engine, step.level).reduce((sum, card) => sum + card.capacity, 0);
    return capacity >= engine.layers * (1 + step.spare);
}

/** A target and the layers for which it has room. */
interface Card {
    readonly target: Target;
    readonly capacity: number;
}

/** The cards with room for a layer, the cheapest per layer first. */
function rankCards(targets: readonly Target[], engine: Engine, concurrency: number): Card[] {
    const layerCost = ({ target, capacity }: Card) => {
        const accelerator = engine.accelerators.find(({ name }) => name === target.accelerator);
        return (accelerator?.stepFactor ?? Infinity) / engine.layers + hopCost / capacity;
    };
    return targets
        .map(target => ({ target, capacity: layerCapacity(engine, target.accelerator, concurrency) }))
        .filter(({ capacity }) => capacity > 0)
        .sort((a, b) => layerCost(a) - layerCost(b) || (a.target.id < b.target.id ? -1 : 1));
}

/** Makes placements out of what is kept and cards that are free. @returns Undefined when they do not suffice. */
type Planner = (
    kept: readonly Placement[],
    cards: readonly Card[],
    engine: Engine,
    concurrency: number,
) => Placement[] | undefined;

/** Gives the layers to the cheapest cards that suffice, each filled up. */
const planAnew: Planner = (_kept, cards, engine, concurrency) => fillGaps([], cards, engine, concurrency);

/**
 * The ways to repair a data centre, the best first. Filling gaps with idle targets disturbs no request and takes 1.2 to 1.8 s
 * (reckoned from the load time). Shifted ranges make targets give up layers, and they load new ones only once the streams
 * under way have ended: 5.1 to 9.4 s on played days. So room goes down to the least before ranges are shifted: the router
 * sends fewer requests, and second copies relieve.
 */
const repairs: readonly { readonly level: number; readonly plan: Planner; }[] = [
    ...repairLevels.flatMap(level => [{ level, plan: fillGaps }, { level, plan: extendNeighbours }]),
    ...repairLevels.slice(1).map(level => ({ level, plan: shiftRanges })),
];

/**
 * Moves the borders between ranges as little as the room of the targets allows, so that a lost range is taken up by its
 * neighbours and their neighbours, a few layers each. Free cards join at the first gap when the others do not suffice.
 */
function shiftRanges(
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

/** Of the ranges that are held, those of the chain that leaves the fewest layers uncovered with the fewest targets. */
function keepRanges(targets: readonly Target[], engine: Engine): Placement[] {
    const held = targets
        .flatMap(target => target.layers === undefined ? [] : [{ target, layers: target.layers }])
        .sort((a, b) => a.layers.first - b.layers.first || b.layers.end - a.layers.end);
    const kept: Placement[] = [];
    let covered = 0;
    while (covered < engine.layers) {
        const useful = held.filter(({ layers }) => layers.end > covered);
        const joining = useful.filter(({ layers }) => layers.first <= covered);
        const next = joining.length > 0
            ? joining.reduce((a, b) => b.layers.end > a.layers.end ? b : a)
            : useful[0];
        if (next === undefined) {
            break;
        }
        kept.push(next);
        covered = next.layers.end;
    }
    return kept;
}

/**
 * Gives gaps to free cards, and what is left of them to the neighbours as far as these have room.
 *
 * @returns Placements without any gap; undefined when the cards and the spare room of neighbours do not suffice.
 */
function fillGaps(
    kept: readonly Placement[],
    cards: readonly Card[],
    engine: Engine,
    concurrency: number,
): Placement[] | undefined {
    const left = [...cards];
    const placements: Placement[] = [];
    let covered = 0;
    for (const placement of [...kept, undefined]) {
        const gapEnd = placement?.layers.first ?? engine.layers;
        covered = placeCards(placements, left, covered, gapEnd);
        if (covered < gapEnd) {
            covered = extendLast(placements, gapEnd, engine, concurrency, covered);
        }
        if (placement !== undefined) {
            const extended = extendDown(placement, covered, engine, concurrency);
            if (extended.layers.first > covered) {
                return undefined;
            }
            placements.push(extended);
            covered = Math.max(covered, extended.layers.end);
        }
    }
    return covered >= engine.layers ? placements : undefined;
}

/**
 * Lets neighbours take what they have room for, and only then free cards the rest: several gaps need fewer cards so. On a
 * played day that lost 5 and 8 layers of a data centre with one idle target, the chain was out for 10 s without this.
 */
function extendNeighbours(
    kept: readonly Placement[],
    cards: readonly Card[],
    engine: Engine,
    concurrency: number,
): Placement[] | undefined {
    const left = [...cards];
    const placements: Placement[] = [];
    let covered = 0;
    for (const placement of [...kept, undefined]) {
        const gapEnd = placement?.layers.first ?? engine.layers;
        if (covered < gapEnd) {
            covered = extendLast(placements, gapEnd, engine, concurrency, covered);
        }
        const extended = placement === undefined ? undefined : extendDown(placement, covered, engine, concurrency);
        covered = placeCards(placements, left, covered, extended?.layers.first ?? engine.layers);
        if (extended !== undefined) {
            if (extended.layers.first > covered) {
                return undefined;
            }
            placements.push(extended);
            covered = Math.max(covered, extended.layers.end);
        }
    }
    return covered >= engine.layers ? placements : undefined;
}

/** Gives a gap to cards, the best fitting first. @returns The first layer that is not covered. */
function placeCards(placements: Placement[], cards: Card[], gapFirst: number, gapEnd: number): number {
    let covered = gapFirst;
    while (covered < gapEnd) {
        const card = takeBestFit(cards, gapEnd - covered);
        if (card === undefined) {
            break;
        }
        const end = Math.min(gapEnd, covered + card.capacity);
        placements.push({ target: card.target, layers: { first: covered, end } });
        covered = end;
    }
    return covered;
}

/** Takes the cheapest card, but for the end of a gap the smallest that holds it, so that a small gap binds no large card. */
function takeBestFit(cards: Card[], layers: number): Card | undefined {
    const fitting = cards.filter(({ capacity }) => capacity >= layers);
    const best = fitting.length > 0 ? fitting.reduce((a, b) => isBetterFit(b, a) ? b : a) : cards[0];
    if (best !== undefined) {
        cards.splice(cards.indexOf(best), 1);
    }
    return best;
}

/** Empty targets first, so that second copies stay; then the smaller one. */
function isBetterFit(a: Card, b: Card): boolean {
    const isEmpty = ({ target }: Card) => target.layers === undefined;
    return isEmpty(a) === isEmpty(b) ? a.capacity < b.capacity : isEmpty(a);
}

/** Lets the last target take layers up to a bound, as far as it has room. @returns The first layer that is not covered. */
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

/** Lets a target take layers below its range down to a bound, as far as it has room. */
function extendDown({ target, layers }: Placement, bound: number, engine: Engine, concurrency: number): Placement {
    const capacity = layerCapacity(engine, target.accelerator, concurrency);
    const first = Math.max(bound, layers.end - capacity);
    return { target, layers: { first: Math.min(layers.first, first), end: layers.end } };
}

/**
 * Lets empty targets that are left hold a second copy of some ranges: first of those whose target is short of room for
 * requests, which the second one relieves; then of the largest, so that a chain goes round a lost target at once. A target
 * that already holds layers stays as it is.
 */
function addStandbys(
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
