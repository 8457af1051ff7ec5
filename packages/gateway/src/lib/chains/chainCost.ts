import { type Chain } from "./Chain.js";

/**
 * Cost of a chain in another data centre, in requests in flight. It is half of the load of a chain under normal
 * conditions: a lower value causes needless traffic between data centres, a higher one leaves chains idle beside a
 * saturated local one when callers move.
 */
const localAdvantage = 20;
/**
 * Cost of each hop between data centres, in requests in flight. Chains within one data centre are preferred until they
 * are nearly full, since the activations of a request occupy the link between data centres for 25 ms per hop.
 */
const crossingPenalty = 30;
/**
 * Cost of each request beyond the room of a chain, in requests in flight, so that chains with room are preferred.
 * Excess requests are queued or evict the KV cache of others.
 */
const excessCost = 10;
/**
 * Cost of each prompt of this process that a chain has yet to process, in requests in flight, when a stream is resumed:
 * all streams of a lost target move at the same time, and a chain processes prompts one after the other.
 */
const pendingPromptCost = 10;
/**
 * Cost of a chain, in requests in flight, for each multiple of the expected step time by which its slowest target
 * exceeds it. A target at half its speed delays all requests on the chain, so the chain is avoided until another one
 * carries twice as many requests.
 */
const slownessPenalty = 40;

/**
 * Share of its room up to which the first chain of a data centre takes all requests. Further chains are slower, and
 * share targets with the first one, so requests gain nothing from them while it is not loaded.
 */
const firstChainShare = 0.6;
/**
 * Cost of a further chain while the first one of its data centre is not loaded, in requests in flight. It exceeds the
 * cost of every first chain that has room, also that of a slow one in another data centre.
 */
const reserveCost = 400;
/**
 * Cost of a chain that shares a target with one on which the request has failed, in requests in flight: the fault may
 * lie in the shared target, and another failure uses up attempts and the retry budget.
 */
const sharedTargetCost = 60;

/** A chain and the requests on it. */
export interface ChainUse {
    readonly chain: Chain;
    /** Requests of all gateways on the chain. */
    readonly requests: number;
    /** Number of requests for which the chain has room; Infinity to ignore it. */
    readonly room: number;
}

/** What the choice of a chain depends on. */
export interface ChainCondition extends ChainUse {
    readonly isRemote: boolean;
    /** The first chain of its data centre, if this is a further one and the first one takes requests. */
    readonly first?: ChainUse;
    /** Whether it shares a target with a chain on which the request has failed. */
    readonly sharesFailedTarget: boolean;
}

/** Returns the cost of sending a request over a chain, in requests in flight. */
export function chainCost(condition: ChainCondition): number {
    return loadCost(condition) + (condition.isRemote ? localAdvantage : 0);
}

/**
 * Returns the cost of resuming a stream on a chain, in requests in flight.
 *
 * @param pendingPrompts - Prompts of this process that the chain has yet to process.
 */
export function resumeCost(condition: ChainCondition, pendingPrompts: number): number {
    return loadCost(condition) + pendingPrompts * pendingPromptCost;
}

/** Whether a chain is a further one of a data centre whose first chain is not loaded. */
export function isReserve({ first }: ChainCondition): boolean {
    return first !== undefined && first.requests <= firstChainShare * first.room;
}

function loadCost(condition: ChainCondition): number {
    const { chain, requests, room, first, sharesFailedTarget } = condition;
    const excess = Math.max(0, requests + 1 - room);
    // A stream on a further chain occupies its slots for longer by the ratio of their paces, which includes slowdowns.
    const paceRatio = first === undefined ? 1 : (chain.pace ?? 1) / (first.chain.pace ?? 1);
    const slowness = (Math.max(chain.slowdown, paceRatio) - 1) * slownessPenalty;
    return requests + excess * excessCost + chain.crossings * crossingPenalty + slowness
        + (isReserve(condition) ? reserveCost : 0) + (sharesFailedTarget ? sharedTargetCost : 0);
}
