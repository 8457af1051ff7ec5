import { type Candidate } from "./ChainPlanner.js";
import { type CostInput, type CostModel } from "./CostModel.js";
import { type LearnedFactor } from "./LearnedFactor.js";

/** The share of a prediction error attributed to the hops between data centres; the rest goes to the stages. */
const hopShare = 0.3;
/** The learning rate for delays between data centres. */
const hopRate = 0.1;

/** A stage's contribution to a predicted time. */
interface Part {
    readonly factor: LearnedFactor;
    /** The time at the nominal speed of the accelerator, in milliseconds. */
    readonly nominal: number;
    /** The time predicted with the learned factor, in milliseconds. */
    readonly predicted: number;
}

/**
 * Learns how slow each target is from the times of whole chains. The error of each observation is distributed over the
 * stages in proportion to their predicted times; since chains combine different targets, errors accumulate on the slow
 * ones.
 *
 * @internal
 */
export class LatencyLearner {
    constructor(private readonly costs: CostModel) {}

    /** Learns from the mean time between tokens of an attempt, in milliseconds. */
    learnInterval(chain: readonly Candidate[], input: CostInput, key: string, observed: number): void {
        const usual = this.costs.peerFiguresOf(key);
        const parts = chain.map(({ state, range }): Part => ({
            factor: state.intervalFactor,
            nominal: this.costs.nominalInterval(state, range),
            predicted: this.costs.stageInterval(state, range, input.now, usual),
        }));
        const hops = this.hopDelays(chain, input.activationBytes);
        const error = observed - hops.total - total(parts);
        const stageError = hops.far.length === 0 ? error : error * (1 - hopShare);
        correct(parts, stageError, input.now);
        for (const [from, to] of hops.far) {
            this.costs.learnDelay(from.state.target, to.state.target, error * hopShare * hopRate / hops.far.length);
        }
    }

    /**
     * Learns from the time to the first token of an attempt, in milliseconds.
     *
     * @returns The change of each stage's prefill factor.
     */
    learnFirstToken(
        chain: readonly Candidate[],
        input: CostInput,
        key: string,
        cached: number,
        observed: number,
    ): readonly number[] {
        const before = chain.map(({ state }) => state.prefillFactor.value);
        const usual = this.costs.peerFiguresOf(key);
        const blocks = Math.max(0, input.blocks - cached);
        const parts = chain.map(({ state, range }): Part => {
            const promised = this.costs.nominalPrefill(state, range, input.layers, blocks + state.pendingBlocks);
            const predicted = promised * state.prefillFactor.current(input.now, usual.prefill);
            return { factor: state.prefillFactor, nominal: promised, predicted };
        });
        correct(parts, observed - this.hopDelays(chain, input.activationBytes).total - total(parts), input.now);
        return chain.map(({ state }, index) => state.prefillFactor.value - before[index]!);
    }

    /**
     * Reverts an update by {@link LatencyLearner.learnFirstToken} that assumed a wrong number of cached blocks. A miss
     * mistaken for a hit makes targets appear many times as slow as they are.
     */
    unlearnFirstToken(chain: readonly Candidate[], changes: readonly number[], now: number): void {
        chain.forEach(({ state: { prefillFactor } }, index) => {
            prefillFactor.set(prefillFactor.value - (changes[index] ?? 0), now);
        });
    }

    /** Estimates the interval factor of a probed target, attributing the chain's whole error to it. */
    probeFactor(
        chain: readonly Candidate[],
        probed: Candidate,
        input: CostInput,
        key: string,
        observed: number,
    ): number {
        const usual = this.costs.peerFiguresOf(key);
        const others = chain.filter(stage => stage !== probed);
        const explained = others.reduce(
            (sum, { state, range }) => sum + this.costs.stageInterval(state, range, input.now, usual),
            this.hopDelays(chain, input.activationBytes).total,
        );
        return (observed - explained) / this.costs.nominalInterval(probed.state, probed.range);
    }

    private hopDelays(chain: readonly Candidate[], bytes: number) {
        let sum = 0;
        const far: (readonly [Candidate, Candidate])[] = [];
        chain.forEach((from, index) => {
            if (chain.length === 1) {
                return;
            }
            // The last stage returns the token to the head; this hop carries no activations.
            const isLast = index === chain.length - 1;
            const to = isLast ? chain[0]! : chain[index + 1]!;
            sum += this.costs.hopDelay(from.state.target, to.state.target, isLast ? 0 : bytes);
            if (from.state.target.dataCentre !== to.state.target.dataCentre) {
                far.push([from, to]);
            }
        });
        return { total: sum, far };
    }
}

function total(parts: readonly Part[]): number {
    return parts.reduce((sum, part) => sum + part.predicted, 0);
}

function correct(parts: readonly Part[], error: number, now: number): void {
    const sum = total(parts);
    for (const { factor, nominal: promised, predicted } of parts) {
        const corrected = predicted + factor.rate * error * (predicted / sum);
        factor.set(corrected / promised, now);
    }
}
