import { median } from "../support/statistics.js";
import { type RangeGroup } from "./RangeGroup.js";
import { type RoutingTarget } from "./Router.js";
import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";

/** Fixed work of every prefill in addition to its blocks, in blocks. */
const overheadBlocks = 1;
/** Slope of the load cost once all slots are in use. */
const overloadSlope = 6;
/** Cost of a target that has just refused a request, relative to the cost of a fully loaded one. */
const refusalCost = 0.5;
const millisecondsPerSecond = 1000;

/**
 * The properties of a request that determine its cost.
 *
 * @internal
 */
export interface CostInput {
    readonly now: number;
    /** Number of layers of the model. */
    readonly layers: number;
    /** Size of the activations of one position, in bytes. */
    readonly activationBytes: number;
    /** Number of cache blocks of the prompt. */
    readonly blocks: number;
    /** Estimated number of leading blocks that each target has cached. */
    readonly matches: ReadonlyMap<TargetState, number>;
}

/** Means and medians over the targets of one model version, with which each target is compared. */
interface PeerFigures {
    /** Mean load per slot from other entries. */
    otherLoad: number;
    /** Median interval factor. */
    interval: number;
    /** Median prefill factor. */
    prefill: number;
    /** Mean expected load per slot. */
    load: number;
}

/**
 * Predicts the cost of a request on a target and on the links between targets. Costs are relative to the bounds: a time
 * to first token at its bound costs 1, as do a time between tokens at its bound and a target with all slots in use.
 *
 * @internal
 */
export class CostModel {
    /** Peer figures by model version or service, as of the last refresh. */
    private readonly usual = new Map<string, PeerFigures>();
    /** Learned delay between data centres beyond the configured latency, in milliseconds, by pair. */
    private readonly extraDelay = new Map<string, number>();

    constructor(private readonly options: CompleteRouterOptions) {}

    /** Recomputes the peer figures of a model version. */
    refresh(key: string, ranges: readonly RangeGroup[]): void {
        const states = ranges.flatMap(range => range.active);
        const now = this.options.clock.now();
        const reported = states.map(state => state.reportedOtherLoad).filter(load => load !== undefined);
        const otherLoad = mean(reported);
        this.usual.set(key, {
            otherLoad,
            interval: medianFactor(states.map(state => state.intervalFactor)),
            prefill: medianFactor(states.map(state => state.prefillFactor)),
            load: mean(states.map(state => this.expectedLoad(state, now, otherLoad))),
        });
    }

    peerFiguresOf(key: string): Readonly<PeerFigures> {
        return this.usual.get(key) ?? { otherLoad: 0, interval: 1, prefill: 1, load: 0 };
    }

    /** Predicts the stage's time for one token, in milliseconds. */
    stageInterval(state: TargetState, range: RangeGroup, now: number, usual: Readonly<PeerFigures>): number {
        return this.nominalInterval(state, range) * state.intervalFactor.current(now, usual.interval);
    }

    /** The stage's time for one token at the nominal speed of the target's accelerator, in milliseconds. */
    nominalInterval(state: TargetState, range: RangeGroup): number {
        return (range.last - range.first + 1) * this.options.layerTime / state.target.speed;
    }

    /** The stage's prefill time at the nominal speed of the target's accelerator, in milliseconds. */
    nominalPrefill(state: TargetState, range: RangeGroup, layers: number, blocks: number): number {
        const share = (range.last - range.first + 1) / layers;
        return (blocks + overheadBlocks) * this.options.blockTime * share / state.target.speed;
    }

    /** Predicts the stage's prefill time, including the prefills pending on the target, in milliseconds. */
    stagePrefill(
        state: TargetState,
        range: RangeGroup,
        input: CostInput,
        cached: number,
        usual: Readonly<PeerFigures>,
    ): number {
        const blocks = Math.max(0, input.blocks - cached) + state.pendingBlocks;
        const factor = state.prefillFactor.current(input.now, usual.prefill);
        return this.nominalPrefill(state, range, input.layers, blocks) * factor;
    }

    /** The expected load of a target per usable slot. */
    loadOf(state: TargetState, now: number, usual: Readonly<PeerFigures>): number {
        return this.expectedLoad(state, now, usual.otherLoad);
    }

    /** The cost of a stage whose target has `cached` leading blocks of the prompt in its cache. */
    stageCost(
        state: TargetState,
        range: RangeGroup,
        input: CostInput,
        cached: number,
        usual: Readonly<PeerFigures>,
    ): number {
        const { firstTokenBound, tokenBound, loadWeight } = this.options;
        const load = this.loadOf(state, input.now, usual);
        const loadCost = load < 1 ? load * load : 1 + overloadSlope * (load - 1);
        return loadWeight * (loadCost + refusalCost * state.refusalWeight(input.now))
            + this.stagePrefill(state, range, input, cached, usual) / firstTokenBound
            + this.stageInterval(state, range, input.now, usual) / tokenBound;
    }

    /** One-way delay from one target to the next for the activations of one position, in milliseconds. */
    hopDelay(from: RoutingTarget, to: RoutingTarget, bytes: number): number {
        const transfer = bytes / Math.min(from.bandwidth, to.bandwidth) * millisecondsPerSecond;
        return from.latency + to.latency + transfer + this.distance(from, to);
    }

    hopCost(from: RoutingTarget, to: RoutingTarget, bytes: number): number {
        const delay = this.hopDelay(from, to, bytes);
        return delay / this.options.tokenBound + delay / this.options.firstTokenBound;
    }

    /** The cost of the round trip between this entry and the head, which delays the first token. */
    entryCost(head: RoutingTarget): number {
        return 2 * (head.latency + this.distance(this.options, head)) / this.options.firstTokenBound;
    }

    /** Adjusts the learned delay between two data centres by the difference from the prediction, in milliseconds. */
    learnDelay(from: RoutingTarget, to: RoutingTarget, difference: number): void {
        const key = pairKey(from, to);
        this.extraDelay.set(key, Math.max(0, (this.extraDelay.get(key) ?? 0) + difference));
    }

    private expectedLoad(state: TargetState, now: number, meanOtherLoad: number): number {
        return state.load(now, meanOtherLoad, this.options.reportHalfLife, this.options.reportTrust);
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

function medianFactor(factors: readonly { readonly samples: number; readonly value: number; }[]): number {
    const learned = factors.filter(factor => factor.samples > 0);
    return learned.length === 0 ? 1 : median(learned.map(factor => factor.value));
}
