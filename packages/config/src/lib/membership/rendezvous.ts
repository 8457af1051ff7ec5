import { createHash } from "node:crypto";

const cache = new Map<string, number>();
const cacheLimit = 200_000;

/**
 * The weight of a name for a place. Who has the highest weights holds the place; when one leaves, only its own places
 * move, and every process computes the same without a message.
 *
 * @internal
 */
export function rendezvousWeight(place: string, name: string): number {
    const key = `${place}\n${name}`;
    const known = cache.get(key);
    if (known !== undefined) {
        return known;
    }
    if (cache.size >= cacheLimit) {
        cache.clear();
    }
    const weight = createHash("sha256").update(key).digest().readUInt32BE(0);
    cache.set(key, weight);
    return weight;
}

/** Sorts by weight for a place, the highest first. @internal */
export function rankByWeight<T extends { readonly process: string; }>(place: string, items: readonly T[]): T[] {
    const weighed = items.map(item => ({ item, weight: rendezvousWeight(place, item.process) }));
    weighed.sort((a, b) => b.weight - a.weight || (a.item.process < b.item.process ? -1 : 1));
    return weighed.map(({ item }) => item);
}
