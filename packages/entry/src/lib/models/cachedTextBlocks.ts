import { blockCharacters } from "./prefixHashes.js";

/** Token counts from the end of an answer, of the whole prompt and of its part found in the prefix cache. @internal */
export interface CachedCounts {
    readonly promptTokens: number;
    readonly cachedTokens: number;
}

/**
 * Estimates how many leading text blocks of a prompt the engine had cached. The engine counts tokens and the entry
 * counts characters, so the cached share of the tokens is used as the cached share of the text. The estimate is
 * inaccurate if the cached part has more or fewer characters per token than the rest.
 *
 * @internal
 */
export function cachedTextBlocks(prompt: string, { promptTokens, cachedTokens }: CachedCounts): number {
    if (promptTokens <= 0) {
        return 0;
    }
    const share = Math.min(1, Math.max(0, cachedTokens / promptTokens));
    return share * prompt.length / blockCharacters;
}
