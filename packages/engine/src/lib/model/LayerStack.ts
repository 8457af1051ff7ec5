import { finish, hashText, mix } from "./hash.js";
import { endToken, vocabularySize } from "./vocabulary.js";

/** The bytes that the activations of one position take. @public */
export const activationBytes = 8;

/**
 * The model that a stack of layers belongs to. Each field changes every token.
 *
 * @internal
 */
export interface ModelIdentity {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
}

/**
 * Consecutive layers of the fake model. The activations of a position are two 32-bit hashes. Each layer folds its
 * input into a key that runs over all positions, which stands for its KV cache, and then folds the key into the
 * activations. So a layer that is skipped, repeated or out of order, and a position that is missing, repeated or
 * computed by another version, changes the activations and with them the token.
 *
 * @internal
 */
export class LayerStack {
    /** How many layers the stack has. */
    readonly depth: number;
    private readonly weights: number;

    constructor(identity: ModelIdentity, private readonly first: number, last: number) {
        this.depth = last - first + 1;
        this.weights = hashText(`${identity.model}\n${identity.version}\n${identity.adapter ?? ""}`);
    }

    /** Turns a token into the input of layer 0, at an index of a list of activations. */
    embed(token: number, position: number, activations: Uint32Array, index: number): void {
        const seed = mix(this.weights, position);
        activations[index] = mix(seed, token);
        activations[index + 1] = mix(mix(seed, ~token), 1);
    }

    /**
     * Runs every layer on one position, in place.
     *
     * @param activations - Two numbers for each position.
     * @param index - Where the two numbers of this position start.
     * @param position - The position in the sequence.
     * @param keys - One key for each position and layer; those of earlier positions are read, those of this written.
     */
    run(activations: Uint32Array, index: number, position: number, keys: Uint32Array): void {
        let left = activations[index] ?? 0;
        let right = activations[index + 1] ?? 0;
        const here = position * this.depth;
        const before = here - this.depth;
        for (let layer = 0; layer < this.depth; layer++) {
            const previous = position === 0 ? this.weights : keys[before + layer] ?? 0;
            const key = mix(mix(mix(previous, left), right), this.first + layer);
            keys[here + layer] = key;
            left = mix(left, key);
            right = mix(mix(right, left), this.weights);
        }
        activations[index] = left;
        activations[index + 1] = right;
    }

    /** Draws the token after a position from the activations of the last layer. */
    draw(activations: Uint32Array, index: number, seed: number | undefined): { token: number; end: boolean; } {
        const hash = mix(mix(activations[index] ?? 0, activations[index + 1] ?? 0), seed ?? 0);
        const token = finish(hash) % vocabularySize;
        return { token, end: token === endToken };
    }
}
