import { blockCharacters } from "./prefixHashes.js";

/** What the end of an answer tells of the prefix cache, in tokens. @internal */
export interface CachedCounts {
    readonly promptTokens: number;
    readonly cachedTokens: number;
}

/**
 * How many leading text blocks of a prompt the engine had cached. The engine counts tokens and the entry text, so the
 * share of the tokens is taken as the share of the text. That is off where the cached part has more or fewer characters
 * for each token than the rest.
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
