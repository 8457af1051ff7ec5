import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { layerCapacity } from "./memory.js";

/** Targets to which a plan may assign layers. */

/**
 * Cost of one more hop, relative to the time of a full step on the reference accelerator. It covers the transfers and
 * the wait for the next pass.
 */
export const hopCost = 0.3;

/** A target and the number of layers for which it has memory. */
export interface Candidate {
    readonly target: Target;
    readonly capacity: number;
}

/** Returns the targets with memory for at least one layer, ordered by increasing cost per layer. */
export function rankCandidates(targets: readonly Target[], engine: Engine, concurrency: number): Candidate[] {
    const layerCost = ({ target, capacity }: Candidate) => {
        const accelerator = engine.accelerators.find(({ name }) => name === target.accelerator);
        return (accelerator?.stepFactor ?? Infinity) / engine.layers + hopCost / capacity;
    };
    return targets
        .map(target => ({ target, capacity: layerCapacity(engine, target.accelerator, concurrency) }))
        .filter(({ capacity }) => capacity > 0)
        .sort((a, b) => layerCost(a) - layerCost(b) || (a.target.id < b.target.id ? -1 : 1));
}

/**
 * Removes and returns the candidate for the next layers of a gap: the smallest one that can hold all of them, so that a
 * small gap does not use up a large target; otherwise the one with the lowest cost.
 */
export function takeBestFit(candidates: Candidate[], layers: number): Candidate | undefined {
    const fitting = candidates.filter(({ capacity }) => capacity >= layers);
    const best = fitting.length > 0 ? fitting.reduce((a, b) => isBetterFit(b, a) ? b : a) : candidates[0];
    if (best !== undefined) {
        candidates.splice(candidates.indexOf(best), 1);
    }
    return best;
}

/** Prefers targets without layers, so that standbys keep theirs, and then the smaller target. */
function isBetterFit(a: Candidate, b: Candidate): boolean {
    const isEmpty = ({ target }: Candidate) => target.layers === undefined;
    return isEmpty(a) === isEmpty(b) ? a.capacity < b.capacity : isEmpty(a);
}
