import { type CostModel } from "./CostModel.js";
import { type RangeGroup } from "./RangeGroup.js";
import { type TargetState } from "./TargetState.js";

/**
 * A target that can run a layer range, and its cost.
 *
 * @internal
 */
export interface Candidate {
    readonly state: TargetState;
    readonly range: RangeGroup;
    readonly cost: number;
}

interface Link {
    readonly candidate: Candidate;
    readonly before: Link | undefined;
    /** Cost of the chain up to and including this link. */
    readonly total: number;
}

/** Maximum number of partial chains that the exhaustive search extends, which bounds its time. */
const maxSearchSteps = 5_000;

/**
 * Finds the cheapest chain of layer ranges by dynamic programming: the best chain that ends with a candidate extends
 * the best chain that ends at the layer before it, plus the cost of the hop between them.
 *
 * That keeps one chain for each candidate. If a target holds several ranges, the chain that was kept may use it where
 * only another one can be completed; then an exhaustive search finds a chain, though not the cheapest one.
 *
 * @param candidates - Candidates in ascending order of their first layer.
 * @returns The chain in layer order, or undefined when the candidates do not cover all layers.
 * @internal
 */
export function planChain(
    candidates: readonly Candidate[],
    layers: number,
    activationBytes: number,
    costs: CostModel,
): readonly Candidate[] | undefined {
    /** Links by the first layer that the next link must start with. */
    const endings = new Map<number, Link[]>();
    for (const candidate of candidates) {
        const link = candidate.range.first === 0
            ? { candidate, before: undefined, total: candidate.cost + costs.entryCost(candidate.state.target) }
            : extend(candidate, endings.get(candidate.range.first), activationBytes, costs);
        if (link !== undefined) {
            const next = candidate.range.last + 1;
            const list = endings.get(next);
            if (list === undefined) {
                endings.set(next, [link]);
            }
            else {
                list.push(link);
            }
        }
    }
    return chainOf(cheapest(endings.get(layers))) ?? searchChain(candidates, layers);
}

/** Finds any chain whose targets differ, by depth-first search. */
function searchChain(candidates: readonly Candidate[], layers: number): readonly Candidate[] | undefined {
    const states = new Set(candidates.map(({ state }) => state));
    if (states.size === candidates.length) {
        return undefined;
    }
    let steps = 0;
    const extendFrom = (layer: number, chain: readonly Candidate[]): readonly Candidate[] | undefined => {
        if (layer === layers) {
            return chain;
        }
        for (const candidate of candidates) {
            const fits = candidate.range.first === layer && chain.every(({ state }) => state !== candidate.state);
            if (!fits || ++steps > maxSearchSteps) {
                continue;
            }
            const found = extendFrom(candidate.range.last + 1, [...chain, candidate]);
            if (found !== undefined) {
                return found;
            }
        }
        return undefined;
    };
    return extendFrom(0, []);
}

function extend(
    candidate: Candidate,
    endings: readonly Link[] | undefined,
    bytes: number,
    costs: CostModel,
): Link | undefined {
    let best: Link | undefined;
    for (const before of endings ?? []) {
        const hop = costs.hopCost(before.candidate.state.target, candidate.state.target, bytes);
        const total = before.total + hop + candidate.cost;
        if ((best === undefined || total < best.total) && !includesTarget(before, candidate.state)) {
            best = { candidate, before, total };
        }
    }
    return best;
}

/** A target runs at most one stage of a chain, since an agent tracks one stage per request. */
function includesTarget(link: Link | undefined, state: TargetState): boolean {
    for (let step = link; step !== undefined; step = step.before) {
        if (step.candidate.state === state) {
            return true;
        }
    }
    return false;
}

function cheapest(links: readonly Link[] | undefined): Link | undefined {
    let best: Link | undefined;
    for (const link of links ?? []) {
        if (best === undefined || link.total < best.total) {
            best = link;
        }
    }
    return best;
}

function chainOf(link: Link | undefined): readonly Candidate[] | undefined {
    if (link === undefined) {
        return undefined;
    }
    const chain: Candidate[] = [];
    for (let step: Link | undefined = link; step !== undefined; step = step.before) {
        chain.unshift(step.candidate);
    }
    return chain;
}
