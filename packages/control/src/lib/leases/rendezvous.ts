import { createHash } from "node:crypto";

/**
 * Orders names by their weight for a key (rendezvous hashing). Every process that knows the same names computes the
 * same order, and adding or removing a name does not change the relative order of the others.
 *
 * @param key - The key to assign.
 * @param names - The candidates.
 * @returns The names, highest weight first.
 * @internal
 */
export function rendezvousOrder(key: string, names: readonly string[]): string[] {
    const weighted = names.map(name => ({ name, weight: weightOf(key, name) }));
    weighted.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1));
    return weighted.map(entry => entry.name);
}

const weightBytes = 6;

function weightOf(key: string, name: string): number {
    return createHash("sha256").update(`${key}\n${name}`).digest().readUIntBE(0, weightBytes);
}
