import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { layerCapacity } from "./memory.js";

/** Targets as the planner deals them out. */

/** Time of one more hop against the reference's time for a whole step: transfers and waiting for the next pass. */
export const hopCost = 0.3;

/** A target and the layers for which it has room. */
export interface Card {
    readonly target: Target;
    readonly capacity: number;
}

/** The cards with room for a layer, the cheapest per layer first. */
export function rankCards(targets: readonly Target[], engine: Engine, concurrency: number): Card[] {
    const layerCost = ({ target, capacity }: Card) => {
        const accelerator = engine.accelerators.find(({ name }) => name === target.accelerator);
        return (accelerator?.stepFactor ?? Infinity) / engine.layers + hopCost / capacity;
    };
    return targets
        .map(target => ({ target, capacity: layerCapacity(engine, target.accelerator, concurrency) }))
        .filter(({ capacity }) => capacity > 0)
        .sort((a, b) => layerCost(a) - layerCost(b) || (a.target.id < b.target.id ? -1 : 1));
}

/** Takes the cheapest card, but for the end of a gap the smallest that holds it, so that a small gap binds no large card. */
export function takeBestFit(cards: Card[], layers: number): Card | undefined {
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
