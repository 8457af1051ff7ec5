import { type Clock } from "@waxwingspar/utils";
import { type Engine } from "../configuration/Configuration.js";
import { type Slowdown } from "./buildChain.js";
import { type Chain } from "./Chain.js";
import {
    type ChainTimes,
    delayBetween,
    isTimed,
    loadWithinInterval,
    predictTimes,
    type PresentLoad,
    type TimedChain,
    type TimedEngine,
} from "./chainTimes.js";
import { type CorrectedTime, TimeCorrections } from "./TimeCorrections.js";
import { type TimeCondition } from "./timedCost.js";

/** Options of {@link ChainPredictions}. */
export interface ChainPredictionsOptions {
    readonly clock: Clock;
    /** The data centre of this process. */
    readonly dataCentre: string;
    /** The accelerator and the data centre of a target. */
    readonly findTarget: (id: string) => { readonly accelerator?: string; readonly dataCentre: string; } | undefined;
    readonly slowdown: Slowdown;
    /** The smallest limit on the interval between events of all routes of the service; undefined if they have none. */
    readonly maxEventInterval?: () => number | undefined;
}

/** What a request that is sent to a chain now finds there. */
export interface ChainPresence extends PresentLoad {
    /** Number of requests for which the chain has room. */
    readonly room: number;
}

/** Part of the longest interval that is in time which predictions may use; the rest is for their errors. */
const usableInterval = 0.8;
/**
 * Room that a chain keeps although its predicted interval exceeds the bound. Without it nothing would show that a
 * correction no longer applies, and a service with only such chains would refuse every request.
 */
const minRoom = 12;
/** Part of the room above which first events depend on when others end, so they correct no prediction. */
const steadyShare = 0.9;
/** Milliseconds between two measurements of a chain's intervals, which are averaged in between. */
const measurementInterval = 100;

/** Predicts times on the current chains of a service, corrected by what this process has measured on them. */
export class ChainPredictions {
    private readonly corrections: TimeCorrections;
    /** Chains are replaced when their targets or slowdowns change. */
    private readonly timedChains = new WeakMap<Chain, TimedChain>();
    private readonly measuredAt = new WeakMap<Chain, number>();

    constructor(private readonly options: ChainPredictionsOptions) {
        this.corrections = new TimeCorrections({ clock: options.clock });
    }

    /**
     * Returns what the cost of a chain depends on.
     *
     * @param prompt - Length of the request's prompt in tokens.
     */
    condition(engine: TimedEngine, chain: Chain, presence: ChainPresence, prompt: number): TimeCondition {
        const { dataCentre } = this.options;
        const isRemote = chain.dataCentre !== dataCentre;
        return {
            times: this.corrections.correct(chain.key, this.predict(engine, chain, presence, prompt)),
            intervalBound: this.intervalBound,
            events: engine.usualAnswer / engine.stepsPerPass,
            remoteDelay: isRemote ? 2 * delayBetween(engine, dataCentre, chain.dataCentre) : undefined,
        };
    }

    /** Returns the number of requests up to which the interval between events of a chain is in time. */
    roomInTime(engine: Engine, chain: Chain): number {
        if (!isTimed(engine)) {
            return Infinity;
        }
        const bound = this.intervalBound / this.corrections.factor(chain.key, "eventInterval");
        return Math.max(minRoom, loadWithinInterval(this.timedChain(engine, chain), engine, bound));
    }

    /** Predicts the milliseconds from a send to its first event, without a correction. */
    expectFirstEvent(engine: TimedEngine, chain: Chain, presence: ChainPresence, prompt: number): number | undefined {
        return presence.requests < presence.room * steadyShare
            ? this.predict(engine, chain, presence, prompt).firstEvent
                + 2 * delayBetween(engine, this.options.dataCentre, chain.dataCentre)
            : undefined;
    }

    /** Records a time that a chain had, and what was predicted for it without a correction. */
    observe(chain: Chain, time: CorrectedTime, measured: number, predicted: number): void {
        this.corrections.observe(chain.key, time, measured, predicted);
    }

    /** Records the present interval between events of a chain. */
    observeInterval(engine: TimedEngine, chain: Chain, presence: () => ChainPresence, measured: number): void {
        const now = this.options.clock.now();
        if (now - (this.measuredAt.get(chain) ?? -Infinity) >= measurementInterval) {
            this.measuredAt.set(chain, now);
            const { eventInterval } = this.predict(engine, chain, presence(), 0);
            this.observe(chain, "eventInterval", measured, eventInterval);
        }
    }

    private get intervalBound(): number {
        return usableInterval * (this.options.maxEventInterval?.() ?? Infinity);
    }

    private predict(engine: TimedEngine, chain: Chain, { room, ...load }: ChainPresence, prompt: number): ChainTimes {
        return predictTimes({ ...this.timedChain(engine, chain), room }, engine, load, prompt);
    }

    private timedChain(engine: TimedEngine, chain: Chain): TimedChain {
        const known = this.timedChains.get(chain);
        if (known !== undefined) {
            return known;
        }
        const { findTarget, slowdown } = this.options;
        const targets = chain.hops.map(({ targetId }) => findTarget(targetId));
        const hops = chain.hops.map(({ targetId, layers }, index) => {
            const accelerator = engine.accelerators.find(({ name }) => name === targets[index]?.accelerator);
            return {
                stepFactor: (accelerator?.stepFactor ?? 1) * slowdown(targetId),
                prefillFactor: (accelerator?.prefillFactor ?? 1) * slowdown(targetId),
                share: (layers.end - layers.first) / engine.layers,
            };
        });
        const delays = targets.slice(1).map((target, index) =>
            delayBetween(engine, targets[index]?.dataCentre ?? "", target?.dataCentre ?? "")
        );
        const crossingDelay = delays.reduce((sum, delay) => sum + delay, 0);
        const timed = { hops, crossings: chain.crossings, crossingDelay, room: chain.room };
        this.timedChains.set(chain, timed);
        return timed;
    }
}
