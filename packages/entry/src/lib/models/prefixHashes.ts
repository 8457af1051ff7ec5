import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Characters in one block, about 64 tokens. @internal */
export const blockCharacters = 256;
/** Maximum number of blocks that are hashed; text beyond them is not distinguished. */
const maxBlocks = 64;

/**
 * Hashes the complete blocks of a prompt. Each hash covers the model (with version and adapter) and everything up to
 * the end of its block, so two prompts share a hash only where a KV cache could be shared.
 *
 * @param identity - Model, version and adapter.
 * @internal
 */
export function prefixHashes(identity: string, prompt: string): string[] {
    const blocks = Math.min(maxBlocks, Math.floor(prompt.length / blockCharacters));
    const hashes: string[] = [];
    let chain = hasher.h64(identity);
    for (let block = 0; block < blocks; block++) {
        chain = hasher.h64(prompt.slice(block * blockCharacters, (block + 1) * blockCharacters), chain);
        hashes.push(chain.toString(36));
    }
    return hashes;
}
