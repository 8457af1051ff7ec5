import { type Route } from "./Configuration.js";

/**
 * Lists the services whose routes have different priorities. Where they are equal, no request is worth more than the one
 * that it would give way to, and callers of an overloaded service are better served late than refused.
 */
export function listRankedServices(routes: readonly Route[]): Set<string> {
    const priorities = new Map<string, number>();
    const ranked = new Set<string>();
    for (const { shares, priority } of routes) {
        for (const { service } of shares) {
            const known = priorities.get(service) ?? priority;
            priorities.set(service, known);
            if (known !== priority) {
                ranked.add(service);
            }
        }
    }
    return ranked;
}
