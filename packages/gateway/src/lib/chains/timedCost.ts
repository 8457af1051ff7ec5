import { type ChainTimes } from "./chainTimes.js";

/**
 * Price of sending a request to another data centre, in milliseconds of its first event: the gain below which it stays.
 * Simulated waves on unequal chains were served as well with 30 and with 60, but 61 % instead of 50 % of the requests
 * went to another data centre; with 100, first events were late.
 */
const remotePrice = 60;
/** Cost of a chain that shares a target with one on which the request has failed, in milliseconds. */
const sharedTargetCost = 200;
/**
 * Cost of a further chain while the first one of its data centre is not loaded, in milliseconds. It exceeds the first
 * event of every chain that has room.
 */
const reserveCost = 5_000;

/** Predicted times on a chain and what they are held against, in milliseconds. */
export interface TimeCondition {
    readonly times: ChainTimes;
    /** The interval between events up to which there is no cost. */
    readonly intervalBound: number;
    /** Number of events of a usual answer. */
    readonly events: number;
    /** Time of the way to the data centre of the chain and back; undefined if it is this one. */
    readonly remoteDelay: number | undefined;
}

/** What the cost of a chain depends on. */
export interface TimedCondition extends TimeCondition {
    /** Whether it is a further chain of a data centre whose first chain is not loaded. */
    readonly isReserve?: boolean;
    /** Whether it shares a target with a chain on which the request has failed. */
    readonly sharesFailedTarget?: boolean;
}

/**
 * Returns the cost of sending a request over a chain, in milliseconds: the time to its first event, the time by which all
 * its further events are late, and the way to another data centre with its price. It answers loads where the number of
 * requests misleads: a long prompt, and chains of unequal accelerators.
 */
export function timedCost(condition: TimedCondition): number {
    const price = condition.remoteDelay === undefined ? 0 : remotePrice;
    return resumeTime(condition) + price + (condition.isReserve === true ? reserveCost : 0);
}

/** Returns the cost of resuming a stream: like {@link timedCost}, but a caller is waiting, so chains have no price. */
export function resumeTime(condition: TimedCondition): number {
    const { times, intervalBound, events, remoteDelay = 0, sharesFailedTarget = false } = condition;
    const lateness = Math.max(0, times.eventInterval - intervalBound) * events;
    return times.firstEvent + lateness + remoteDelay + (sharesFailedTarget ? sharedTargetCost : 0);
}
