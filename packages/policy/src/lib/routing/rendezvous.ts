import createHasher from "xxhash-wasm";

const hasher = await createHasher();
const range = 2 ** 32;

/**
 * The 32-bit xxHash of a string.
 *
 * @internal
 */
export function hashOf(text: string): number {
    return hasher.h32(text);
}

/**
 * The weighted rendezvous score of a pair: among all members, the highest scores win. Each member wins in proportion to
 * its weight, and a change of one member moves only what that member gains or loses.
 *
 * @param chooser - The hash of the one that chooses.
 * @param member - The hash of the member.
 * @param weight - The member's weight, above 0.
 * @internal
 */
export function rendezvousScore(chooser: number, member: number, weight: number): number {
    const uniform = (mix(chooser ^ Math.imul(member, 0x9e37_79b1)) + 0.5) / range;
    return -weight / Math.log(uniform);
}

/** Spreads every bit of a 32-bit number over all others. */
function mix(value: number): number {
    let bits = value;
    bits = Math.imul(bits ^ (bits >>> 16), 0x85eb_ca6b);
    bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2_ae35);
    return (bits ^ (bits >>> 16)) >>> 0;
}
