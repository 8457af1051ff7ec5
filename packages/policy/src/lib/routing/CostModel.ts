import { median } from "../support/statistics.js";
import { type RangeGroup } from "./RangeGroup.js";
import { type RoutingTarget } from "./Router.js";
import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";

/** Work of every prefill besides its blocks, in blocks. */
const overheadBlocks = 1;
/** How steeply cost grows once every slot is taken. */
const overloadSlope = 6;
/** What a refusal just now counts, as a share of a full target. */
const refusalCost = 0.5;
const millisecondsPerSecond = 1000;

/**
 * A request as the cost model sees it.
 *
 * @internal
 */
export interface CostInput {
    readonly now: number;
    /** Layers of the model. */
    readonly layers: number;
    /** Bytes of activations of one position. */
    readonly activationBytes: number;
    /** Cache blocks of the prompt. */
    readonly blocks: number;
    /** Leading blocks that each target is thought to hold. */
    readonly matches: ReadonlyMap<TargetState, number>;
}

/** The usual figures of the targets of one model version, against which each is judged. */
interface Usual {
    others: number;
    interval: number;
    prefill: number;
    load: number;
}

/**
 * Predicts what a request costs on a target and on the links between targets. Costs are shares of the bounds: a first
 * token at its bound costs 1, and so does a time between tokens at its bound, and a target with every slot taken.
 *
 * @internal
 */
export class CostModel {
    private readonly usual = new Map<string, Usual>();
    /** Delay of each pair of data centres beyond the configured one, learned from own traffic, in milliseconds. */
    private readonly extraDelay = new Map<string, number>();

    constructor(private readonly options: CompleteRouterOptions) {}

    /** Works out the usual figures of a model version anew. */
    refresh(key: string, ranges: readonly RangeGroup[]): void {
        const states = ranges.flatMap(range => range.active);
        const now = this.options.clock.now();
        const reported = states.map(state => state.reportedOthers).filter(others => others !== undefined);
        const others = mean(reported);
        this.usual.set(key, {
            others,
            interval: usualFactor(states.map(state => state.intervalFactor)),
            prefill: usualFactor(states.map(state => state.prefillFactor)),
            load: mean(states.map(state => this.expectedLoad(state, now, others))),
        });
    }

    usualOf(key: string): Readonly<Usual> {
        return this.usual.get(key) ?? { others: 0, interval: 1, prefill: 1, load: 0 };
    }

    /** The time of the stage for one token, in milliseconds. */
    stageInterval(state: TargetState, range: RangeGroup, now: number, usual: Readonly<Usual>): number {
        return this.promisedInterval(state, range) * state.intervalFactor.current(now, usual.interval);
    }

    /** The stage's time for one token if the target runs as its accelerator promises, in milliseconds. */
    promisedInterval(state: TargetState, range: RangeGroup): number {
        return (range.last - range.first + 1) * this.options.layerTime / state.target.speed;
    }

    /** The stage's prefill if the target runs as its accelerator promises, in milliseconds. */
    promisedPrefill(state: TargetState, range: RangeGroup, layers: number, blocks: number): number {
        const share = (range.last - range.first + 1) / layers;
        return (blocks + overheadBlocks) * this.options.blockTime * share / state.target.speed;
    }

    /** The stage's prefill behind what already waits there, in milliseconds. */
    stagePrefill(
        state: TargetState,
        range: RangeGroup,
        input: CostInput,
        cached: number,
        usual: Readonly<Usual>,
    ): number {
        const blocks = Math.max(0, input.blocks - cached) + state.pendingBlocks;
        const factor = state.prefillFactor.current(input.now, usual.prefill);
        return this.promisedPrefill(state, range, input.layers, blocks) * factor;
    }

    loadOf(state: TargetState, now: number, usual: Readonly<Usual>): number {
        return this.expectedLoad(state, now, usual.others);
    }

    /** The cost of a stage, of which `cached` leading blocks need no prefill. */
    stageCost(state: TargetState, range: RangeGroup, input: CostInput, cached: number, usual: Readonly<Usual>): number {
        const { firstTokenBound, tokenBound, loadWeight } = this.options;
        const load = this.loadOf(state, input.now, usual);
        const busy = load < 1 ? load * load : 1 + overloadSlope * (load - 1);
        return loadWeight * (busy + refusalCost * state.refusalWeight(input.now))
            + this.stagePrefill(state, range, input, cached, usual) / firstTokenBound
            + this.stageInterval(state, range, input.now, usual) / tokenBound;
    }

    /** One-way delay from one target to the next for one position, in milliseconds. */
    hopDelay(from: RoutingTarget, to: RoutingTarget, bytes: number): number {
        const transfer = bytes / Math.min(from.bandwidth, to.bandwidth) * millisecondsPerSecond;
        return from.latency + to.latency + transfer + this.distance(from, to);
    }

    hopCost(from: RoutingTarget, to: RoutingTarget, bytes: number): number {
        const delay = this.hopDelay(from, to, bytes);
        return delay / this.options.tokenBound + delay / this.options.firstTokenBound;
    }

    /** The cost of reaching the head from this entry, which every first token pays there and back. */
    entryCost(head: RoutingTarget): number {
        return 2 * (head.latency + this.distance(this.options, head)) / this.options.firstTokenBound;
    }

    /** Takes in that a hop between two data centres took longer or shorter than predicted. */
    learnDelay(from: RoutingTarget, to: RoutingTarget, difference: number): void {
        const key = pairKey(from, to);
        this.extraDelay.set(key, Math.max(0, (this.extraDelay.get(key) ?? 0) + difference));
    }

    private expectedLoad(state: TargetState, now: number, usualOthers: number): number {
        return state.load(now, usualOthers, this.options.reportHalfLife, this.options.reportTrust);
    }

    private distance(
        from: { readonly dataCentre: string; readonly region: string; },
        to: { readonly dataCentre: string; readonly region: string; },
    ): number {
        if (from.dataCentre === to.dataCentre) {
            return 0;
        }
        const configured = from.region === to.region ? this.options.dataCentreLatency : this.options.regionLatency;
        return this.extraDelay.size === 0 ? configured : configured + (this.extraDelay.get(pairKey(from, to)) ?? 0);
    }
}

function pairKey(from: { readonly dataCentre: string; }, to: { readonly dataCentre: string; }): string {
    return `${from.dataCentre} ${to.dataCentre}`;
}

function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function usualFactor(factors: readonly { readonly samples: number; readonly value: number; }[]): number {
    const learned = factors.filter(factor => factor.samples > 0);
    return learned.length === 0 ? 1 : median(learned.map(factor => factor.value));
}
