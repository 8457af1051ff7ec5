import { type Stage } from "@waxwingspar/transport";
import { type Candidate } from "./ChainPlanner.js";
import { type CostInput } from "./CostModel.js";
import { type AttemptEnd, type RoutedAttempt } from "./Router.js";

/** Number of token intervals averaged into one observation. */
const intervalsPerObservation = 16;

/**
 * Receives the observations of an attempt.
 *
 * @internal
 */
export interface AttemptObserver {
    /** Reports the time to the first token, in milliseconds. */
    firstToken(attempt: ChainAttempt, latency: number): void;
    /** Reports the mean of several intervals between tokens, in milliseconds. */
    interval(attempt: ChainAttempt, mean: number): void;
    /** Reports how many leading blocks of the prompt were cached on every stage. */
    cacheHitReported(attempt: ChainAttempt, blocks: number): void;
    /** Reports the result, the target at fault if one is known, and the milliseconds for which it wants to rest. */
    ended(attempt: ChainAttempt, result: AttemptEnd, target: string | undefined, rest: number | undefined): void;
}

/**
 * The update of the prefill factors that was made from the time to the first token.
 *
 * @internal
 */
export interface FirstTokenUpdate {
    /** Time to the first token, in milliseconds. */
    readonly latency: number;
    /** The change of each stage's prefill factor. */
    readonly changes: readonly number[];
}

/**
 * An attempt on a chain. It adds to the load of every stage while it runs, and forwards the caller's observations.
 *
 * @internal
 */
export class ChainAttempt implements RoutedAttempt {
    readonly stages: readonly Stage[];
    /** Number of prefill blocks that the attempt added to each stage. */
    private readonly prefillBlocks: number;
    /** The update made from the first token; undefined before the first token and for probes. */
    firstTokenUpdate: FirstTokenUpdate | undefined;
    private awaitsFirstToken = true;
    private isOver = false;
    private intervalSum = 0;
    private intervalCount = 0;

    /**
     * @param key - The model version or service.
     * @param prefix - Hashes of the prompt's blocks.
     * @param expectedBlocks - Number of leading blocks expected to be cached on every stage.
     * @param probe - The stage whose target this attempt probes, if any.
     */
    constructor(
        readonly chain: readonly Candidate[],
        readonly input: CostInput,
        readonly key: string,
        readonly prefix: readonly string[],
        readonly expectedBlocks: number,
        readonly probe: Candidate | undefined,
        private readonly observer: AttemptObserver,
    ) {
        this.stages = chain.map(({ state, range }) => {
            const { name, host, port } = state.target;
            return { target: name, host, port, first: range.first, last: range.last };
        });
        this.prefillBlocks = Math.max(1, input.blocks - expectedBlocks);
        for (const { state } of chain) {
            state.inFlight++;
            state.pendingBlocks += this.prefillBlocks;
        }
    }

    firstToken(latency: number): void {
        if (this.isOver || !this.awaitsFirstToken) {
            return;
        }
        this.releasePrefill();
        this.observer.firstToken(this, latency);
    }

    token(interval: number): void {
        if (this.isOver) {
            return;
        }
        this.intervalSum += interval;
        this.intervalCount++;
        if (this.intervalCount === intervalsPerObservation) {
            this.flushIntervals();
        }
    }

    cached(blocks: number): void {
        if (!this.isOver) {
            this.observer.cacheHitReported(this, blocks);
        }
    }

    end(result: AttemptEnd, target?: string, rest?: number): void {
        if (this.isOver) {
            return;
        }
        this.flushIntervals();
        this.releasePrefill();
        this.isOver = true;
        this.chain.forEach(({ state }) => state.inFlight--);
        this.observer.ended(this, result, target, rest);
    }

    private flushIntervals(): void {
        if (this.intervalCount === 0) {
            return;
        }
        const mean = this.intervalSum / this.intervalCount;
        this.intervalSum = 0;
        this.intervalCount = 0;
        this.observer.interval(this, mean);
    }

    private releasePrefill(): void {
        if (this.awaitsFirstToken) {
            this.awaitsFirstToken = false;
            this.chain.forEach(({ state }) => {
                state.pendingBlocks -= this.prefillBlocks;
            });
        }
    }
}
