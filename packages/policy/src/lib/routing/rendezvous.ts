import createHasher from "xxhash-wasm";

const hasher = await createHasher();
const range = 2 ** 32;

/**
 * Returns the 32-bit xxHash of a string.
 *
 * @internal
 */
export function hashOf(text: string): number {
    return hasher.h32(text);
}

/**
 * Returns the weighted rendezvous score of a pair; the members with the highest scores are selected. Each member is
 * selected in proportion to its weight, and a change of one member affects only the selections of that member.
 *
 * @param chooser - The hash of the selecting entry.
 * @param member - The hash of the member.
 * @param weight - The member's weight, above 0.
 * @internal
 */
export function rendezvousScore(chooser: number, member: number, weight: number): number {
    const uniform = (mix(chooser ^ Math.imul(member, 0x9e37_79b1)) + 0.5) / range;
    return -weight / Math.log(uniform);
}

/** Mixes the bits of a 32-bit number, so that each input bit affects all output bits. */
function mix(value: number): number {
    let bits = value;
    bits = Math.imul(bits ^ (bits >>> 16), 0x85eb_ca6b);
    bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2_ae35);
    return (bits ^ (bits >>> 16)) >>> 0;
}
