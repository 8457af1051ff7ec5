import { type LearnedFactor } from "../routing/LearnedFactor.js";
import { type RangeGroup } from "../routing/RangeGroup.js";
import { type TargetState } from "../routing/TargetState.js";
import { median, medianDeviation } from "../support/statistics.js";

/** Peers with enough samples that a comparison needs. */
const minPeers = 3;
/** Spreads below this, as logarithms, are taken as this: peers that are all alike must not make a small lag stand out. */
const minSpread = 0.15;
/** Milliseconds after which a target that nobody uses any more is judged by the few samples there are. */
const idleTime = 2000;
/** How many spreads above the median a slow target lies at least. */
const minSpreads = 4;

/**
 * What counts as slow, and how many targets may be ejected for it.
 *
 * @internal
 */
export interface SlowTargetLimits {
    readonly slowFactor: number;
    readonly minSamples: number;
    readonly maxEjected: number;
}

/**
 * Finds the targets of a model version that are slow against their peers, by the median and the median absolute
 * deviation of the logarithms of their learned factors. A few slow targets cannot move either. A target that is avoided
 * for its cost counts as well: once it is ejected, probes find out when it is well again.
 *
 * @internal
 */
export function findSlowTargets(
    ranges: readonly RangeGroup[],
    limits: SlowTargetLimits,
    now: number,
): TargetState[] {
    const states = [...new Set(ranges.flatMap(range => range.chosen))];
    const byInterval = outliers(states, state => state.intervalFactor, limits, now);
    const byPrefill = outliers(states, state => state.prefillFactor, limits, now);
    return [...new Set([...byInterval, ...byPrefill])];
}

/**
 * Tells whether one more target may be ejected: of each of its layer ranges at most the given share, though one at
 * least where there are two or more.
 *
 * @internal
 */
export function mayEject(ranges: readonly RangeGroup[], maxEjected: number): boolean {
    return ranges.every(range => {
        const ejected = range.chosen.filter(state => !state.isUsable()).length;
        const size = range.chosen.length;
        const cap = size < 2 ? 0 : Math.max(1, Math.floor(size * maxEjected));
        return ejected < cap;
    });
}

function outliers(
    states: readonly TargetState[],
    factorOf: (state: TargetState) => LearnedFactor,
    limits: SlowTargetLimits,
    now: number,
): TargetState[] {
    const isKnown = (factor: LearnedFactor) =>
        factor.samples >= limits.minSamples || (factor.samples > 0 && now - factor.lastObserved >= idleTime);
    const peers = states.filter(state => isKnown(factorOf(state)));
    if (peers.length < minPeers) {
        return [];
    }
    const logarithms = peers.map(state => Math.log(factorOf(state).value));
    const centre = median(logarithms);
    const spread = Math.max(minSpread, medianDeviation(logarithms, centre));
    const threshold = centre + Math.max(Math.log(limits.slowFactor), minSpreads * spread);
    return peers.filter((state, index) => logarithms[index]! > threshold && state.health.isUsable());
}
