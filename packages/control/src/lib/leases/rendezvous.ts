import { createHash } from "node:crypto";

/**
 * Orders names by their weight for a key: rendezvous hashing. Every process that knows the same names gets the same
 * order, and a name that comes or goes moves no other.
 *
 * @param key - What is to be assigned.
 * @param names - Who may take it.
 * @returns The names, the best first.
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
