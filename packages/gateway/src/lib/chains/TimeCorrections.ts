import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { type ChainTimes } from "./chainTimes.js";

/** Options of {@link TimeCorrections}. */
export interface TimeCorrectionsOptions {
    readonly clock: Clock;
    /** Half-life in milliseconds of a factor's difference from 1 without measurements. */
    readonly halfLife?: number;
    /** Bounds of a factor. */
    readonly bounds?: { readonly min: number; readonly max: number; };
    /** Weight of a new measurement, from 0 to 1. */
    readonly weight?: number;
    /** Number of chains whose factors are kept; those used least recently are discarded. */
    readonly maxChains?: number;
}

/** The time of a stream that a correction applies to. */
export type CorrectedTime = keyof ChainTimes;

interface Factor {
    readonly value: number;
    /** When the value was learned, on the clock. */
    readonly learnedAt: number;
}

/**
 * A gateway of 43 has about one stream a second on a chain. With a half-life of 5 s and a weight of 0.1, a chain that is
 * twice as slow as predicted was corrected by half, and 0.95 instead of 0.995 of simulated requests were in time.
 */
const defaultHalfLife = 15_000;
/** A pair of crashes shows intervals far from those that a chain has in operation; they must not drive requests away. */
const defaultBounds = { min: 0.5, max: 3 };
const defaultWeight = 0.2;
const defaultMaxChains = 256;

/**
 * Learns for each chain by which factor its measured times differ from the predicted ones. It serves loads that the
 * model leaves out, such as prompts of other requests or a shared target. A factor decays to 1 without measurements, so
 * that a chain that was slow and gets no requests is tried again.
 */
export class TimeCorrections {
    private readonly factors: LRUCache<string, Factor>;

    constructor(private readonly options: TimeCorrectionsOptions) {
        this.factors = new LRUCache({ max: options.maxChains ?? defaultMaxChains });
    }

    /** Records a time that a chain had, and the prediction for the same load without a correction. */
    observe(chainKey: string, time: CorrectedTime, measured: number, predicted: number): void {
        if (!(measured > 0 && predicted > 0)) {
            return;
        }
        const { clock, weight = defaultWeight } = this.options;
        const known = this.factor(chainKey, time);
        const value = known + (this.bounded(measured / predicted) - known) * weight;
        this.factors.set(keyOf(chainKey, time), { value, learnedAt: clock.now() });
    }

    /** Returns the factor by which to multiply a predicted time; 1 without measurements. */
    factor(chainKey: string, time: CorrectedTime): number {
        const known = this.factors.get(keyOf(chainKey, time));
        if (known === undefined) {
            return 1;
        }
        const { clock, halfLife = defaultHalfLife } = this.options;
        const remaining = 2 ** -((clock.now() - known.learnedAt) / halfLife);
        return 1 + (known.value - 1) * remaining;
    }

    /** Multiplies predicted times by the factors of a chain. */
    correct(chainKey: string, { firstEvent, eventInterval }: ChainTimes): ChainTimes {
        return {
            firstEvent: firstEvent * this.factor(chainKey, "firstEvent"),
            eventInterval: eventInterval * this.factor(chainKey, "eventInterval"),
        };
    }

    private bounded(factor: number): number {
        const { min, max } = this.options.bounds ?? defaultBounds;
        return Math.min(max, Math.max(min, factor));
    }
}

function keyOf(chainKey: string, time: CorrectedTime): string {
    return `${time} ${chainKey}`;
}
