import { finish, hashText, mix } from "./hash.js";
import { endToken, vocabularySize } from "./vocabulary.js";

/** Size in bytes of the activations of one position. @public */
export const activationBytes = 8;

/**
 * The model that a stack of layers belongs to. Every token depends on each of these fields.
 *
 * @internal
 */
export interface ModelIdentity {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
}

/**
 * Consecutive layers of the fake model. The activations of a position are two 32-bit hashes. Each layer mixes its
 * input into a running key, which depends on all earlier positions and models the KV cache, and then mixes the key into
 * the activations. A layer that is skipped, repeated or out of order, or a position that is missing, repeated or
 * computed by another version, therefore changes the activations and the sampled token.
 *
 * @internal
 */
export class LayerStack {
    /** The number of layers in the stack. */
    readonly depth: number;
    private readonly weights: number;

    constructor(identity: ModelIdentity, private readonly first: number, last: number) {
        this.depth = last - first + 1;
        this.weights = hashText(`${identity.model}\n${identity.version}\n${identity.adapter ?? ""}`);
    }

    /** Writes the embedding of a token, which is the input of layer 0, to the activations at an index. */
    embed(token: number, position: number, activations: Uint32Array, index: number): void {
        const seed = mix(this.weights, position);
        activations[index] = mix(seed, token);
        activations[index + 1] = mix(mix(seed, ~token), 1);
    }

    /**
     * Runs every layer on one position, in place.
     *
     * @param activations - Two numbers per position.
     * @param index - The index in `activations` at which the two numbers of this position start.
     * @param position - The position in the sequence.
     * @param keys - One key per position and layer; reads those of the previous position and writes those of this one.
     */
    run(activations: Uint32Array, index: number, position: number, keys: Uint32Array): void {
        let left = activations[index] ?? 0;
        let right = activations[index + 1] ?? 0;
        const keyOffset = position * this.depth;
        // The offset of the keys of the previous position.
        const before = keyOffset - this.depth;
        for (let layer = 0; layer < this.depth; layer++) {
            const previous = position === 0 ? this.weights : keys[before + layer] ?? 0;
            const key = mix(mix(mix(previous, left), right), this.first + layer);
            keys[keyOffset + layer] = key;
            left = mix(left, key);
            right = mix(mix(right, left), this.weights);
        }
        activations[index] = left;
        activations[index + 1] = right;
    }

    /** Samples the token that follows a position from the activations of the last layer. */
    sampleToken(activations: Uint32Array, index: number, seed: number | undefined): { token: number; end: boolean; } {
        const hash = mix(mix(activations[index] ?? 0, activations[index + 1] ?? 0), seed ?? 0);
        const token = finish(hash) % vocabularySize;
        return { token, end: token === endToken };
    }
}
