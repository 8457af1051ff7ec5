import { type Random, seededRandom } from "@waxwingspar/utils";
import { type BenchCase } from "./BenchCase.js";
import { fleet } from "./fleet.js";

/** Number of shared prefixes. */
const sharedPrefixes = 300;
/** Number of blocks of each shared prefix. */
const sharedBlocks = 40;
/** Exponent of the Zipf distribution of the shared prefixes. */
const skew = 1.1;
/** Number of blocks of a prompt without a shared prefix. */
const uniqueBlocks = { fewest: 16, most: 32 };
/** Number of blocks that follow a shared prefix. */
const uniqueBlocksAfterPrefix = { fewest: 4, most: 12 };
/** Response lengths in tokens, exponentially distributed: about a tenth is longer than twice the mean. */
const answerTokens = { mean: 60, fewest: 2, most: 400 };

/** A request of a caller. */
export interface Arrival {
    readonly id: number;
    /** Milliseconds of virtual time. */
    readonly time: number;
    readonly entry: number;
    readonly organisation: number;
    readonly prefix: readonly string[];
    readonly tokens: number;
}

/**
 * Generates the arrivals of a case as an open-loop Poisson process. The arrivals depend on the seed alone, not on the
 * policy under test.
 *
 * @internal
 */
export class Traffic {
    private readonly random: Random;
    private readonly popularity: readonly number[];
    private time = 0;
    private count = 0;

    /** @param rate - Base load in requests per second. */
    constructor(private readonly benchCase: BenchCase, private readonly rate: number, seed: number) {
        this.random = seededRandom(seed);
        this.popularity = cumulativeShares(Array.from({ length: sharedPrefixes }, (_, rank) => (rank + 1) ** -skew));
    }

    next(): Arrival {
        const factor = this.burstFactor() * this.greedFactor();
        this.time += -Math.log(1 - this.random.next()) / (this.rate * factor) * 1000;
        const id = this.count++;
        return {
            id,
            time: this.time,
            entry: this.random.below(fleet.entries),
            organisation: this.organisation(),
            prefix: this.prompt(id),
            tokens: this.answerLength(),
        };
    }

    private burstFactor(): number {
        const { burst } = this.benchCase;
        const second = this.time / 1000;
        return burst !== undefined && second >= burst.from && second < burst.to ? burst.factor : 1;
    }

    /** Returns the factor by which a greedy organisation increases the total load. */
    private greedFactor(): number {
        return (fleet.organisations - 1 + (this.benchCase.greedy ?? 1)) / fleet.organisations;
    }

    private organisation(): number {
        const greedy = this.benchCase.greedy ?? 1;
        const drawn = this.random.next() * (fleet.organisations - 1 + greedy);
        return drawn < greedy ? 0 : 1 + Math.floor(drawn - greedy);
    }

    private prompt(id: number): string[] {
        if (this.benchCase.skewedPrefixes !== true) {
            return Array.from({ length: this.between(uniqueBlocks) }, (_, block) => `${id}.${block}`);
        }
        const drawn = this.random.next();
        const topic = this.popularity.findIndex(share => drawn < share);
        const shared = Array.from({ length: sharedBlocks }, (_, block) => `topic-${topic}.${block}`);
        const own = Array.from({ length: this.between(uniqueBlocksAfterPrefix) }, (_, block) => `${id}.${block}`);
        return [...shared, ...own];
    }

    private answerLength(): number {
        const { mean, fewest, most } = answerTokens;
        const length = Math.round(-Math.log(1 - this.random.next()) * mean);
        return Math.min(most, Math.max(fewest, length));
    }

    private between(range: { readonly fewest: number; readonly most: number; }): number {
        return range.fewest + this.random.below(range.most - range.fewest + 1);
    }
}

/** Returns the cumulative shares of the weights; the last is 1. */
function cumulativeShares(weights: readonly number[]): number[] {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let sum = 0;
    const shares = weights.map(weight => (sum += weight) / total);
    shares[shares.length - 1] = 1;
    return shares;
}
