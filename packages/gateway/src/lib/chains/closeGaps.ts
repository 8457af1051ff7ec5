import { type Engine } from "../configuration/Configuration.js";
import { type Card, takeBestFit } from "./cards.js";
import { layerCapacity } from "./memory.js";
import { type Placement } from "./Placement.js";

/** Closes the gaps between ranges that stay as they are, without making any target give up layers. */

/** Who takes layers of a gap first: free cards, or the neighbours as far as they have room. */
export type GapOrder = "cardsFirst" | "neighboursFirst";

/**
 * Gives the layers of gaps to free cards and to the targets beside them.
 *
 * @param order - With the neighbours first several gaps need fewer cards, but the neighbours have less room for requests. On a
 * played day that lost 5 and 8 layers of a data centre with one idle target, the chain was out for 10 s with cards first only.
 * @param concurrency - Requests for whose KV cache every target keeps room.
 * @returns Placements without any gap; undefined when the cards and the spare room of neighbours do not suffice.
 */
export function closeGaps(
    order: GapOrder,
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
        if (order === "neighboursFirst" && covered < gapEnd) {
            covered = extendLast(placements, gapEnd, engine, concurrency, covered);
        }
        const next = placement === undefined || order === "cardsFirst"
            ? placement
            : extendDown(placement, covered, engine, concurrency);
        covered = placeCards(placements, left, covered, next?.layers.first ?? engine.layers);
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
