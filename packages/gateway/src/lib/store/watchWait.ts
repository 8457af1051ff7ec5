import { watchSlack } from "./Store.js";

/**
 * Milliseconds of the contact time that remain after a call on an unresponsive connection times out. The next call
 * needs about 10 ms for its new connection and its reply, and longer on a busy host.
 */
const reconnectTime = 600;
/** Minimum milliseconds that one call waits, whatever the contact time, because each call is billed. */
const minWait = 500;

/**
 * Milliseconds that one call may wait for changes of a table. An unresponsive connection is detected only when the call
 * on it times out, which must happen within the contact time.
 *
 * @param contactTime - Milliseconds within which a process that can reach the store must know of every change.
 */
export function watchWait(contactTime: number): number {
    return Math.max(minWait, contactTime - watchSlack - reconnectTime);
}

/** Limits for a watch that uses its peers' reports instead of polling the store. */
export interface SharedWatchLimits {
    /** Maximum age in milliseconds of the last confirmation by a peer; after that the watch polls the store itself. */
    readonly bound: number;
    /** Milliseconds that each call of a leader waits for changes. */
    readonly wait: number;
}

/**
 * Milliseconds of the maximum staleness that remain when a watch starts to poll the store itself: enough for a call
 * that times out and the next one on a new connection.
 */
const storeCallTime = watchSlack + 300;
/** Milliseconds from the store's reply to a leader until its followers have the leader's report: four heartbeats. */
const relayTime = 800;
/** Minimum useful bound in milliseconds: below it, leaders would poll more often than all gateways do alone. */
const minBound = 2_000;

/**
 * The limits for a shared watch under which every gateway still learns of a change in time.
 *
 * @param maxStaleness - Milliseconds after the store accepted a change within which a gateway must know of it.
 * @returns Undefined if each gateway must poll the store itself.
 */
export function sharedWatchLimits(maxStaleness: number): SharedWatchLimits | undefined {
    const bound = maxStaleness - storeCallTime;
    return bound < minBound ? undefined : { bound, wait: bound - relayTime };
}

/** Milliseconds from the end of a call's wait until its reply, on a busy host or after one call that timed out. */
const confirmationCallTime = 1_000;

/**
 * Milliseconds that a call may wait so that its reply still comes within the maximum age of a confirmation. A reply with
 * changes confirms the table as of the sending of its call, which is long ago if the call has waited or the transfer
 * has taken long.
 *
 * @param age - Milliseconds since the last confirmation.
 * @param maxAge - Undefined if there is no maximum.
 */
export function confirmationWait(age: number, maxAge = Infinity): number {
    const wait = maxAge - age - confirmationCallTime;
    return age < maxAge / 2 ? Math.max(minWait, wait) : Math.max(0, wait);
}

/** Milliseconds by which a timer may fire early. */
const timerSlack = 5;

/**
 * The minimum time for which the store held a call without changes: at its end the table was still unchanged. A reply
 * that came before the end of the wait may have been produced at any time, so it counts as 0.
 */
export function minimumHoldTime(elapsed: number, wait: number): number {
    return elapsed < wait - timerSlack ? 0 : Math.min(wait, elapsed);
}
