import { LayerStack, type ModelIdentity } from "./LayerStack.js";
import { tokenizeText, tokenText } from "./vocabulary.js";

/**
 * The request that {@link referenceAnswer} computes an answer for.
 *
 * @public
 */
export interface ReferenceOptions extends ModelIdentity {
    /** The number of layers in the whole model. */
    readonly layers: number;
    /** The prompt, exactly as passed to the engine's `tokenize`. */
    readonly prompt: string;
    readonly maxTokens: number;
    /** The sampling seed; the fake model ignores temperature and top-p. */
    readonly seed?: number;
}

/**
 * The complete answer of the fake engine to a request.
 *
 * @public
 */
export interface ReferenceAnswer {
    readonly promptTokens: number;
    /** The tokens of the answer, including the end token. */
    readonly tokens: readonly number[];
    /** The concatenated texts of the tokens. */
    readonly text: string;
    readonly finish: "stop" | "length";
}

/**
 * Computes the complete answer of the fake model without an engine, so that a caller can verify what it received.
 *
 * @example
 * ```ts
 * const { text } = referenceAnswer({ model: "demo", version: "1", layers: 12, prompt: "Hello", maxTokens: 32 });
 * ```
 * @public
 */
export function referenceAnswer(options: ReferenceOptions): ReferenceAnswer {
    const stack = new LayerStack(options, 0, options.layers - 1);
    const prompt = tokenizeText(options.prompt);
    const keys = new Uint32Array((prompt.length + options.maxTokens) * options.layers);
    const activations = new Uint32Array(2);
    const sequence = [...prompt];
    const tokens: number[] = [];
    let end = false;
    for (let position = 0; !end && tokens.length < options.maxTokens; position++) {
        stack.embed(sequence[position] ?? 0, position, activations, 0);
        stack.run(activations, 0, position, keys);
        if (position < prompt.length - 1) {
            continue;
        }
        const drawn = stack.sampleToken(activations, 0, options.seed);
        tokens.push(drawn.token);
        sequence.push(drawn.token);
        end = drawn.end;
    }
    return {
        promptTokens: prompt.length,
        tokens,
        text: tokens.map(tokenText).join(""),
        finish: end ? "stop" : "length",
    };
}
