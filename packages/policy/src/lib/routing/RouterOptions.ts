import { type Clock, type Random } from "@waxwingspar/utils";
import { defaultHealthOptions, type HealthOptions } from "../health/TargetHealth.js";

/**
 * Options of {@link createRouter}. docs/design/routing.md has the sweeps behind the defaults.
 *
 * @public
 */
export interface RouterOptions extends Partial<HealthOptions> {
    readonly clock: Clock;
    readonly random: Random;
    /** The name of this entry, which decides which part of a large fleet it uses. */
    readonly entry: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Targets that this entry uses of each layer range of a model version. Default 24. */
    readonly subsetSize?: number;
    /** A layer range of no more targets than this is used whole, whatever the subset's size. Default 48. */
    readonly wholeRange?: number;
    /** The shares of the subset from the own data centre and from the rest of the region. Default 0.6 and 0.3. */
    readonly localShare?: number;
    readonly regionShare?: number;
    /** Targets drawn at random of each layer range for one request, of which the best chain is taken. Default 3. */
    readonly choices?: number;
    /** The bound on the first token, in milliseconds. Default 540. */
    readonly firstTokenBound?: number;
    /** The bound between two tokens, in milliseconds. Default 72. */
    readonly tokenBound?: number;
    /** How much a full target counts against a first token at its bound. Default 1. */
    readonly loadWeight?: number;
    /** Milliseconds in which half the weight of a load report is lost. Default 2000. */
    readonly reportHalfLife?: number;
    /** How much of a fresh report's difference from the peers' mean counts, from 0 to 1. Default 0.5. */
    readonly reportTrust?: number;
    /** The time constant over which load reports are averaged, in milliseconds. Default 5000. */
    readonly reportMemory?: number;
    /** Above this multiple of its peers' mean load a target gets nothing for its prefix cache alone. Default 1.5. */
    readonly affinityBound?: number;
    /** Milliseconds in which half the trust in a remembered cache block is lost. Default 60000. */
    readonly cacheHalfLife?: number;
    /** Cache blocks that are remembered. Default 50000. */
    readonly cacheBlocks?: number;
    /** The first guess of the time to prefill one cache block with the whole model at speed 1, in milliseconds. Default 4. */
    readonly blockTime?: number;
    /** The first guess of the time of one layer for one token at speed 1, in milliseconds. Default 0.5. */
    readonly layerTime?: number;
    /** How many times as slow as its peers' median a target must be to be ejected. Default 3. */
    readonly slowFactor?: number;
    /** Observations of a target before it can count as slow. Default 10. */
    readonly minSamples?: number;
    /** The share of peers that may be ejected at the same time for being slow or failing. Default 0.3. */
    readonly maxEjected?: number;
    /** A request is refused here when the heads drawn for it predict more than this multiple of the bound. Default 4. */
    readonly refuseAbove?: number;
    /** One-way latency to another data centre of the region and to another region, in milliseconds. Default 0.6 and 30. */
    readonly dataCentreLatency?: number;
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
