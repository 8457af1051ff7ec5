import { createHash } from "node:crypto";

const cache = new Map<string, number>();
const cacheLimit = 200_000;

/**
 * The rendezvous hashing weight of a name for a slot. The names with the highest weights hold the slot. If a process
 * leaves, only its own slots move, and all processes compute the same result without communication.
 *
 * @internal
 */
export function rendezvousWeight(slot: string, name: string): number {
    const key = `${slot}\n${name}`;
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

/** Sorts items by their weight for a slot, highest first. @internal */
export function rankByWeight<T extends { readonly process: string; }>(slot: string, items: readonly T[]): T[] {
    const weighed = items.map(item => ({ item, weight: rendezvousWeight(slot, item.process) }));
    weighed.sort((a, b) => b.weight - a.weight || (a.item.process < b.item.process ? -1 : 1));
    return weighed.map(({ item }) => item);
}
