import { type Route } from "./Configuration.js";

/**
 * Returns the smallest limit on the interval between events, in milliseconds, of all routes to a service, by service. A
 * service that is missing has no limit. Chains are shared by all routes, so that the strictest one bounds their load.
 */
export function smallestEventIntervals(routes: readonly Route[]): Map<string, number> {
    const smallest = new Map<string, number>();
    for (const { shares, maxEventInterval } of routes) {
        if (maxEventInterval !== undefined) {
            shares.forEach(({ service }) =>
                smallest.set(service, Math.min(smallest.get(service) ?? Infinity, maxEventInterval))
            );
        }
    }
    return smallest;
}
