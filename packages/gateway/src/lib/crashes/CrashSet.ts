/**
 * A set of targets that crashed, as a number of 32 bits in which each target has one. Joining sets counts no target
 * twice, whoever reports it and over whatever ways; two targets share a bit with a chance of 1 in 32.
 */
export type CrashSet = number;

const bits = 32;
const hashFactor = 31;

/** The set of no target. */
export const noCrashes: CrashSet = 0;

/** The set that contains one incarnation of a target. */
export function crashSetOf(incarnation: string): CrashSet {
    let hash = 0;
    for (let i = 0; i < incarnation.length; i++) {
        hash = (Math.imul(hash, hashFactor) + incarnation.charCodeAt(i)) >>> 0;
    }
    return (1 << mix(hash) % bits) >>> 0;
}

/** The set of targets that are in either set. */
export function joinCrashSets(a: CrashSet, b: CrashSet): CrashSet {
    return (a | b) >>> 0;
}

/** The number of targets in a set, or slightly less. */
export function sizeOfCrashSet(set: CrashSet): number {
    let size = 0;
    for (let rest = set >>> 0; rest !== 0; rest &= rest - 1) {
        size++;
    }
    return size;
}

/** Spreads similar hashes, as of targets with consecutive ids, over all bits. */
function mix(hash: number): number {
    const folded = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
    return (folded ^ (folded >>> 16)) >>> 0;
}
