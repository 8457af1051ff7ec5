import { type Stage } from "@waxwingspar/transport";
import { type Candidate } from "./ChainPlanner.js";
import { type CostInput } from "./CostModel.js";
import { type AttemptEnd, type RoutedAttempt } from "./Router.js";

/** Token intervals that are averaged into one observation. */
const intervalsPerObservation = 16;

/**
 * What an attempt tells the router about itself.
 *
 * @internal
 */
export interface AttemptObserver {
    firstToken(attempt: ChainAttempt, latency: number): void;
    /** The mean of some intervals between tokens, in milliseconds. */
    interval(attempt: ChainAttempt, mean: number): void;
    /** So many leading blocks of the prompt were in the cache of every stage. */
    cachedSeen(attempt: ChainAttempt, blocks: number): void;
    ended(attempt: ChainAttempt, result: AttemptEnd, target: string | undefined): void;
}

/**
 * What was learned from the time to the first token.
 *
 * @internal
 */
export interface FirstTokenLesson {
    /** In milliseconds. */
    readonly latency: number;
    /** By how much the factor of each stage changed. */
    readonly changes: readonly number[];
}

/**
 * An attempt on a chain: counts its load on every stage while it runs, and passes on what its owner sees.
 *
 * @internal
 */
export class ChainAttempt implements RoutedAttempt {
    readonly stages: readonly Stage[];
    /** Blocks of prefill that the attempt added to each stage. */
    private readonly prefillBlocks: number;
    /** The time to the first token, and what was learned from it. */
    firstTokenLesson: FirstTokenLesson | undefined;
    private awaitsFirstToken = true;
    private isOver = false;
    private intervalSum = 0;
    private intervalCount = 0;

    /**
     * @param key - The model version or service.
     * @param prefix - The prompt's blocks.
     * @param expectedBlocks - Leading blocks that every stage is thought to hold.
     * @param probe - The stage whose target is probed by this attempt, if any.
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
            this.observer.cachedSeen(this, blocks);
        }
    }

    end(result: AttemptEnd, target?: string): void {
        if (this.isOver) {
            return;
        }
        this.flushIntervals();
        this.releasePrefill();
        this.isOver = true;
        this.chain.forEach(({ state }) => state.inFlight--);
        this.observer.ended(this, result, target);
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
