import { finish, hashText, mix } from "../model/hash.js";
import { type ModelIdentity } from "../model/LayerStack.js";
import { blockTokens } from "./PrefixCache.js";

/**
 * Returns the hashes of the complete blocks of a prompt, as they appear in cache events. Each hash covers the model,
 * its version, the adapter and all tokens up to the end of its block.
 *
 * @public
 */
export function blockHashes(identity: ModelIdentity, tokens: readonly number[]): string[] {
    const name = `${identity.model}\n${identity.version}\n${identity.adapter ?? ""}`;
    let left = hashText(name, 1);
    let right = hashText(name, 2);
    const hashes: string[] = [];
    tokens.forEach((token, index) => {
        left = mix(left, token);
        right = mix(mix(right, token), left);
        if ((index + 1) % blockTokens === 0) {
            hashes.push(hex(finish(left)) + hex(finish(right)));
        }
    });
    return hashes;
}

function hex(word: number): string {
    return word.toString(16).padStart(8, "0");
}
