import { type Clock } from "@waxwingspar/utils";
import { type Engine } from "../configuration/Configuration.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type MechanismSwitch } from "../Mechanisms.js";
import { type Chain } from "./Chain.js";
import { ChainPredictions, type ChainPresence } from "./ChainPredictions.js";
import { type ChainLoad } from "./ChainRouter.js";
import { isTimed, type TimedEngine } from "./chainTimes.js";
import { PeerLoadEstimate } from "./PeerLoadEstimate.js";
import { type TargetPaces } from "./TargetPaces.js";
import { resumeTime, timedCost } from "./timedCost.js";

/** Options of {@link TimedChoice}. */
export interface TimedChoiceOptions {
    readonly clock: Clock;
    /** The data centre of this process. */
    readonly dataCentre: string;
    readonly directory: Pick<TargetDirectory, "get">;
    readonly paces: Pick<TargetPaces, "slowdown">;
    /** Number of requests of other processes on chains with a first target, as last reported. */
    readonly peerLoad: (headId: string) => number;
    /** The smallest limit on the interval between events of the service's routes; undefined if they have none. */
    readonly maxEventInterval?: () => number | undefined;
    readonly isOn: MechanismSwitch;
    /** Number of requests of this process on chains with a first target. */
    readonly ownLoad: (headId: string) => number;
    /** Ids of the first targets of the current chains. */
    readonly heads: () => readonly string[];
    /** Number of requests for which a chain has room; Infinity to ignore its room. */
    readonly room: (chain: Chain) => number;
}

/** What makes a chain a worse choice, apart from its times. */
export interface ChainDrawbacks {
    /** Whether it is a further chain of a data centre whose first chain is not loaded. */
    readonly isReserve?: boolean;
    /** Whether it shares a target with a chain on which the request has failed. */
    readonly sharesFailedTarget?: boolean;
}

/** Returns the cost of a chain in milliseconds. */
export type TimedCosts = (load: ChainLoad, drawbacks: ChainDrawbacks) => number;

/**
 * The part of the choice of chains that rests on predicted times. It applies if the mechanism "timed-choice" is on and
 * the configuration has the times of the engine; otherwise chains are compared by their numbers of requests.
 */
export class TimedChoice {
    private readonly predictions: ChainPredictions;
    private readonly estimate: PeerLoadEstimate;

    constructor(private readonly options: TimedChoiceOptions) {
        const { clock, directory, paces, isOn } = options;
        this.estimate = new PeerLoadEstimate({ clock });
        this.predictions = new ChainPredictions({
            ...options,
            findTarget: id => directory.get(id),
            slowdown: id => isOn("slow-targets") ? paces.slowdown(id) : 1,
        });
    }

    /** Whether chains of an engine are chosen by predicted times. */
    applies(engine: Engine): engine is TimedEngine {
        return isTimed(engine) && this.options.isOn("timed-choice");
    }

    /**
     * Returns the costs of sending a request over each of the present chains, in milliseconds.
     *
     * @param prompt - Length of its prompt in tokens; the usual length if unknown.
     */
    costs(engine: TimedEngine, prompt = engine.usualPrompt): TimedCosts {
        const { peerRatio } = this;
        return ({ chain }, drawbacks) => {
            const condition = this.predictions.condition(engine, chain, this.presenceOf(chain, peerRatio), prompt);
            return timedCost({ ...condition, ...drawbacks });
        };
    }

    /**
     * Returns the costs of resuming a stream on each of the present chains, in milliseconds. All gateways resume the
     * streams of a lost chain at the same time, so that the prompts of theirs are ahead as well.
     */
    resumeCosts(engine: TimedEngine, prompt = engine.usualPrompt): TimedCosts {
        const { peerRatio } = this;
        return ({ chain, inFlight, streaming }, drawbacks) => {
            const pendingTokens = (inFlight - streaming) * (1 + peerRatio) * engine.usualPrompt;
            const presence = { ...this.presenceOf(chain, peerRatio), pendingTokens };
            return resumeTime({ ...this.predictions.condition(engine, chain, presence, prompt), ...drawbacks });
        };
    }

    /** Returns the number of requests up to which events of a chain are in time. */
    roomInTime(engine: Engine, chain: Chain): number {
        return this.applies(engine) ? this.predictions.roomInTime(engine, chain) : Infinity;
    }

    noteSend(chain: Chain): void {
        this.estimate.begin(headOf(chain));
    }

    noteEnd(chain: Chain): void {
        this.estimate.end(headOf(chain));
    }

    /** Records the moving average of the intervals between events of a chain. */
    noteInterval(engine: Engine, { chain, eventInterval }: ChainLoad): void {
        if (this.applies(engine) && eventInterval !== undefined) {
            this.predictions.observeInterval(engine, chain, () => this.presenceOf(chain), eventInterval);
        }
    }

    /** Predicts the milliseconds to the first event of a request that is sent now; undefined if that is uncertain. */
    expectFirstEvent(engine: Engine, { chain }: ChainLoad, prompt = engine.usualPrompt): number | undefined {
        return this.applies(engine)
            ? this.predictions.expectFirstEvent(engine, chain, this.presenceOf(chain), prompt)
            : undefined;
    }

    /** Records the milliseconds to the first event of a request, and what was expected when it was sent. */
    noteFirstEvent({ chain }: ChainLoad, taken: number, expected: number): void {
        this.predictions.observe(chain, "firstEvent", taken, expected);
    }

    /** Returns the estimated number of requests of all gateways on a chain, and its room. */
    private presenceOf(chain: Chain, peerRatio = this.peerRatio): ChainPresence {
        const { ownLoad, peerLoad, room } = this.options;
        const head = headOf(chain);
        const peers = this.estimate.estimate(head, peerLoad(head), peerRatio);
        return { requests: ownLoad(head) + peers, room: room(chain) };
    }

    /** Requests of all peers for each request of this process. */
    private get peerRatio(): number {
        const { heads, ownLoad, peerLoad } = this.options;
        const sum = (load: (head: string) => number) => heads().reduce((total, head) => total + load(head), 0);
        return sum(peerLoad) / Math.max(1, sum(ownLoad));
    }
}

/** Returns the id of the first target of a chain. */
export function headOf({ hops }: Chain): string {
    return hops[0]?.targetId ?? "";
}
