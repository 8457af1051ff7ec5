import { type Clock, type Random } from "@waxwingspar/utils";
import { defaultHealthOptions, type HealthOptions } from "../health/TargetHealth.js";

/**
 * Options of {@link createRouter}. The parameter sweeps behind the defaults are in docs/design/routing.md.
 *
 * @public
 */
export interface RouterOptions extends Partial<HealthOptions> {
    readonly clock: Clock;
    readonly random: Random;
    /** The name of this entry, which determines the subset of a large fleet that it uses. */
    readonly entry: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Number of targets of each layer range of a model version that this entry uses. Default 24. */
    readonly subsetSize?: number;
    /** All targets of a layer range are used if it has at most this many, whatever `subsetSize` is. Default 48. */
    readonly wholeRange?: number;
    /** The share of the subset from this entry's data centre. Default 0.6. */
    readonly localShare?: number;
    /** The share of the subset from the rest of this entry's region. Default 0.3. */
    readonly regionShare?: number;
    /** Number of targets sampled from each layer range for a request, of which the best chain is used. Default 3. */
    readonly choices?: number;
    /** The bound on the time to first token, in milliseconds. Default 540. */
    readonly firstTokenBound?: number;
    /** The bound on the time between tokens, in milliseconds. Default 72. */
    readonly tokenBound?: number;
    /** The cost of a fully loaded target relative to that of a first token at its bound. Default 1. */
    readonly loadWeight?: number;
    /** Half-life of the weight of a load report, in milliseconds. Default 2000. */
    readonly reportHalfLife?: number;
    /** Weight of a fresh load report's difference from the peers' mean, from 0 to 1. Default 0.5. */
    readonly reportTrust?: number;
    /** Time constant of the average over load reports, in milliseconds. Default 5000. */
    readonly reportMemory?: number;
    /** A target above this multiple of its peers' mean load gets no requests for its cached prefixes. Default 1.5. */
    readonly affinityBound?: number;
    /** Half-life of the trust in a recorded cache block, in milliseconds. Default 60000. */
    readonly cacheHalfLife?: number;
    /** Maximum number of recorded cache blocks. Default 50000. */
    readonly cacheBlocks?: number;
    /** Initial estimate of the time to prefill one cache block with the whole model at speed 1, in ms. Default 4. */
    readonly blockTime?: number;
    /** Initial estimate of the time of one layer for one token at speed 1, in milliseconds. Default 0.5. */
    readonly layerTime?: number;
    /** A target is ejected only if it is at least this many times as slow as the median of its peers. Default 3. */
    readonly slowFactor?: number;
    /** Minimum number of observations of a target before it can count as slow. Default 10. */
    readonly minSamples?: number;
    /** Maximum share of peers that may be ejected as slow or failing at the same time. Default 0.3. */
    readonly maxEjected?: number;
    /** A request is refused when all sampled heads predict more than this multiple of `firstTokenBound`. Default 4. */
    readonly refuseAbove?: number;
    /** One-way latency to another data centre of the region, in milliseconds. Default 0.6. */
    readonly dataCentreLatency?: number;
    /** One-way latency to another region, in milliseconds. Default 30. */
    readonly regionLatency?: number;
}

/** @internal */
export type CompleteRouterOptions = Required<RouterOptions>;

/** @internal */
export function completeRouterOptions(options: RouterOptions): CompleteRouterOptions {
    return {
        ...defaultHealthOptions,
        subsetSize: 24,
        wholeRange: 48,
        localShare: 0.6,
        regionShare: 0.3,
        choices: 3,
        firstTokenBound: 540,
        tokenBound: 72,
        loadWeight: 1,
        reportHalfLife: 2000,
        reportTrust: 0.5,
        reportMemory: 5000,
        affinityBound: 1.5,
        cacheHalfLife: 60_000,
        cacheBlocks: 50_000,
        blockTime: 4,
        layerTime: 0.5,
        slowFactor: 3,
        minSamples: 10,
        maxEjected: 0.3,
        refuseAbove: 4,
        dataCentreLatency: 0.6,
        regionLatency: 30,
        ...options,
    };
}
