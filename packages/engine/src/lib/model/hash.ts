const firstMultiplier = 0xcc9e2d51;
const secondMultiplier = 0x1b873593;

/**
 * Mixes a number into a running 32-bit hash (the round function of MurmurHash3). The order of the numbers matters.
 *
 * @param hash - The hash so far.
 * @param value - The number to mix in; only its lowest 32 bits are used.
 * @returns The new hash, as an unsigned number.
 * @internal
 */
export function mix(hash: number, value: number): number {
    let word = Math.imul(value, firstMultiplier);
    word = (word << 15) | (word >>> 17);
    word = Math.imul(word, secondMultiplier);
    let mixed = hash ^ word;
    mixed = (mixed << 13) | (mixed >>> 19);
    return (Math.imul(mixed, 5) + 0xe6546b64) >>> 0;
}

/**
 * Finalises a running hash, so that every bit depends on every bit mixed in (the finaliser of MurmurHash3).
 *
 * @internal
 */
export function finish(hash: number): number {
    let word = hash ^ (hash >>> 16);
    word = Math.imul(word, 0x85ebca6b);
    word ^= word >>> 13;
    word = Math.imul(word, 0xc2b2ae35);
    return (word ^ (word >>> 16)) >>> 0;
}

/**
 * Hashes a text.
 *
 * @param text - The text, hashed by its UTF-16 code units.
 * @param seed - Different seeds give different hashes of the same text.
 * @internal
 */
export function hashText(text: string, seed = 0): number {
    let hash = mix(seed, text.length);
    for (let index = 0; index < text.length; index++) {
        hash = mix(hash, text.charCodeAt(index));
    }
    return finish(hash);
}
