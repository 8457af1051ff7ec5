import { type Candidate } from "./ChainPlanner.js";
import { type CostInput, type CostModel } from "./CostModel.js";
import { type LearnedFactor } from "./LearnedFactor.js";

/** The share of an error that a hop between data centres gets; its stages share the rest. */
const hopShare = 0.3;
const hopRate = 0.1;

/** A stage's part of a prediction. */
interface Part {
    readonly factor: LearnedFactor;
    /** The time the accelerator promises, in milliseconds. */
    readonly promised: number;
    /** The time predicted from what was learned, in milliseconds. */
    readonly predicted: number;
}

/**
 * Learns how slow each target is from times that whole chains took. Each observation corrects its stages in proportion
 * to their predicted parts; over chains that mix targets, the slow one collects the errors.
 *
 * @internal
 */
export class LatencyLearner {
    constructor(private readonly costs: CostModel) {}

    /** Takes in the mean time between tokens of an attempt, in milliseconds. */
    learnInterval(chain: readonly Candidate[], input: CostInput, key: string, observed: number): void {
        const usual = this.costs.usualOf(key);
        const parts = chain.map(({ state, range }): Part => ({
            factor: state.intervalFactor,
            promised: this.costs.promisedInterval(state, range),
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
     * Takes in the time to the first token of an attempt, in milliseconds.
     *
     * @returns By how much that changed the factor of each stage.
     */
    learnFirstToken(
        chain: readonly Candidate[],
        input: CostInput,
        key: string,
        cached: number,
        observed: number,
    ): readonly number[] {
        const before = chain.map(({ state }) => state.prefillFactor.value);
        const usual = this.costs.usualOf(key);
        const blocks = Math.max(0, input.blocks - cached);
        const parts = chain.map(({ state, range }): Part => {
            const promised = this.costs.promisedPrefill(state, range, input.layers, blocks + state.pendingBlocks);
            const predicted = promised * state.prefillFactor.current(input.now, usual.prefill);
            return { factor: state.prefillFactor, promised, predicted };
        });
        correct(parts, observed - this.hopDelays(chain, input.activationBytes).total - total(parts), input.now);
        return chain.map(({ state }, index) => state.prefillFactor.value - before[index]!);
    }

    /**
     * Takes back what {@link LatencyLearner.learnFirstToken} learned, since other blocks were cached than was thought: a
     * miss taken for a hit makes its targets look many times as slow as they are.
     */
    unlearnFirstToken(chain: readonly Candidate[], changes: readonly number[], now: number): void {
        chain.forEach(({ state: { prefillFactor } }, index) => {
            prefillFactor.set(prefillFactor.value - (changes[index] ?? 0), now);
        });
    }

    /** How slow a probed target is: the whole error of the chain is taken as its own. */
    probeFactor(
        chain: readonly Candidate[],
        probed: Candidate,
        input: CostInput,
        key: string,
        observed: number,
    ): number {
        const usual = this.costs.usualOf(key);
        const others = chain.filter(stage => stage !== probed);
        const explained = others.reduce(
            (sum, { state, range }) => sum + this.costs.stageInterval(state, range, input.now, usual),
            this.hopDelays(chain, input.activationBytes).total,
        );
        return (observed - explained) / this.costs.promisedInterval(probed.state, probed.range);
    }

    private hopDelays(chain: readonly Candidate[], bytes: number) {
        let sum = 0;
        const far: (readonly [Candidate, Candidate])[] = [];
        chain.forEach((from, index) => {
            if (chain.length === 1) {
                return;
            }
            // The last stage returns the token to the head, which carries no activations.
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
    for (const { factor, promised, predicted } of parts) {
        const corrected = predicted + factor.rate * error * (predicted / sum);
        factor.set(corrected / promised, now);
    }
}
