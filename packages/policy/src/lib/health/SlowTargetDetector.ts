import { type LearnedFactor } from "../routing/LearnedFactor.js";
import { type RangeGroup } from "../routing/RangeGroup.js";
import { type TargetState } from "../routing/TargetState.js";
import { median, medianDeviation } from "../support/statistics.js";

/** Minimum number of peers with enough samples for a comparison. */
const minPeers = 3;
/** Lower limit of the spread, in logarithms: among nearly equal peers a small delay must not count as an outlier. */
const minSpread = 0.15;
/** Milliseconds without observations after which a target is judged even with fewer than `minSamples` samples. */
const idleTime = 2000;
/** Minimum distance of a slow target above the median, in spreads. */
const minSpreads = 4;

/**
 * The limits beyond which a target counts as slow, and the share of targets that may be ejected.
 *
 * @internal
 */
export interface SlowTargetLimits {
    readonly slowFactor: number;
    readonly minSamples: number;
    readonly maxEjected: number;
}

/**
 * Finds the targets of a model version that are slow compared with their peers, by the median and the median
 * absolute deviation of the logarithms of their learned factors, which a few slow targets cannot shift. A target that
 * gets no requests because of its cost is included: once it is ejected, probes detect its recovery.
 *
 * @internal
 */
export function findSlowTargets(
    ranges: readonly RangeGroup[],
    limits: SlowTargetLimits,
    now: number,
): TargetState[] {
    const states = [...new Set(ranges.flatMap(range => range.subset))];
    const byInterval = outliers(states, state => state.intervalFactor, limits, now);
    const byPrefill = outliers(states, state => state.prefillFactor, limits, now);
    return [...new Set([...byInterval, ...byPrefill])];
}

/**
 * Returns whether one more target may be ejected. In each of its layer ranges at most the given share of targets may be
 * ejected, but at least one if the range has two or more.
 *
 * @internal
 */
export function mayEject(ranges: readonly RangeGroup[], maxEjected: number): boolean {
    return ranges.every(range => {
        const ejected = range.subset.filter(state => !state.isUsable()).length;
        const size = range.subset.length;
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
