import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { pack, unpack } from "msgpackr";
import { Result } from "true-myth";
import { z } from "zod";
import { type Session, type Step, type StepResult } from "../Engine.js";
import { activationBytes, LayerStack } from "../model/LayerStack.js";
import { tokenText } from "../model/vocabulary.js";
import { blockHashes } from "./blockHashes.js";
import { blockTokens, type PrefixCache } from "./PrefixCache.js";

/** The number of 32-bit words that the activations of one position take. */
const wordsPerPosition = activationBytes / Uint32Array.BYTES_PER_ELEMENT;
/** The number of positions that a new session has room for. */
const initialCapacity = 64;

const exportSchema = z.object({
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    first: z.number().int(),
    last: z.number().int(),
    positions: z.number().int().nonnegative(),
    keys: z.instanceof(Uint8Array),
});

/**
 * A session of the fake engine: one token sequence with a KV cache, which holds one key per position and layer.
 *
 * @internal
 */
export class FakeSession {
    private readonly stack: LayerStack;
    private readonly blocks: readonly string[];
    private keys: Uint32Array;
    /** The number of leading positions whose keys are in the KV cache. */
    private held = 0;
    private hasRun = false;
    /** The number of complete prompt blocks that were read from the prefix cache or written to it. */
    private storedBlocks = 0;

    constructor(readonly session: Session, private readonly cache: PrefixCache) {
        this.stack = new LayerStack(session, session.first, session.last);
        this.keys = new Uint32Array(this.stack.depth * initialCapacity);
        this.blocks = blockHashes(session, session.tokens ?? []).map(hash =>
            `${hash}:${session.first}-${session.last}`
        );
    }

    /** The number of leading positions whose keys are in the KV cache. */
    get positions(): number {
        return this.held;
    }

    /**
     * Copies the leading blocks of the prompt from the prefix cache. The last token of the prompt is never taken from
     * the cache, since the first token of the answer is sampled from its output.
     *
     * @returns The number of positions that these blocks cover.
     */
    reusePrefix(): number {
        const promptTokens = this.session.tokens?.length ?? 0;
        const usable = Math.floor(Math.max(0, promptTokens - 1) / blockTokens);
        for (const hash of this.blocks.slice(0, usable)) {
            const keys = this.cache.get(hash);
            if (keys === undefined) {
                break;
            }
            this.reserve(this.held + blockTokens);
            this.keys.set(keys, this.held * this.stack.depth);
            this.held += blockTokens;
            this.storedBlocks++;
        }
        return this.held;
    }

    run(step: Step): Outcome<StepResult> {
        const checked = this.check(step);
        if (checked.isErr) {
            return Result.err(checked.error);
        }
        const activations = checked.value;
        // The first step may start before the end of the cached prefix; the positions after it are dropped, as by a
        // real engine.
        this.held = step.position;
        this.hasRun = true;
        this.reserve(step.position + step.count);
        for (let index = 0; index < step.count; index++) {
            const position = step.position + index;
            const token = step.tokens?.[index];
            if (token !== undefined) {
                this.stack.embed(token, position, activations, index * wordsPerPosition);
            }
            this.stack.run(activations, index * wordsPerPosition, position, this.keys);
        }
        this.held += step.count;
        this.storeBlocks();
        return Result.ok(this.result(step, activations));
    }

    export(): { positions: number; data: Uint8Array; } {
        const { model, version, adapter, first, last } = this.session;
        const words = this.keys.slice(0, this.held * this.stack.depth);
        const keys = new Uint8Array(words.buffer);
        return {
            positions: this.held,
            data: pack({ model, version, adapter, first, last, positions: this.held, keys }),
        };
    }

    import(data: Uint8Array): Outcome<{ positions: number; }> {
        if (this.hasRun) {
            return engineFailure(`session ${this.session.session} has already run a step and cannot import a KV cache`);
        }
        const parsed = exportSchema.safeParse(unpackOrUndefined(data));
        if (!parsed.success) {
            return engineFailure("the imported KV cache could not be decoded");
        }
        const imported = parsed.data;
        const { model, version, adapter, first, last } = this.session;
        const same = imported.model === model && imported.version === version && imported.adapter === adapter
            && imported.first === first && imported.last === last;
        if (!same || imported.keys.length !== imported.positions * this.stack.depth * Uint32Array.BYTES_PER_ELEMENT) {
            return engineFailure(
                "the imported KV cache has another model, version, adapter, layer range or length",
            );
        }
        this.reserve(imported.positions);
        this.keys.set(toWords(imported.keys), 0);
        this.held = imported.positions;
        return Result.ok({ positions: imported.positions });
    }

    /** Validates a step against the state of the session, and returns its input activations. */
    private check(step: Step): Outcome<Uint32Array<ArrayBuffer>> {
        const name = `session ${this.session.session}`;
        const inOrder = this.hasRun ? step.position === this.held : step.position <= this.held;
        if (!inOrder) {
            return engineFailure(`${name} expected position ${this.held} but got ${step.position}`);
        }
        if (this.session.first === 0) {
            if (step.tokens?.length !== step.count || step.activations !== undefined) {
                return engineFailure(
                    `${name} starts at layer 0 and expects one token for each of ${step.count} positions`,
                );
            }
            return Result.ok(new Uint32Array(step.count * wordsPerPosition));
        }
        if (step.activations?.length !== step.count * activationBytes || step.tokens !== undefined) {
            return engineFailure(`${name} expects the activations of ${step.count} positions`);
        }
        return Result.ok(toWords(step.activations));
    }

    private result(step: Step, activations: Uint32Array<ArrayBuffer>): StepResult {
        if (!step.sample) {
            return { activations: new Uint8Array(activations.buffer) };
        }
        const drawn = this.stack.sampleToken(activations, (step.count - 1) * wordsPerPosition, this.session.seed);
        return { token: drawn.token, text: tokenText(drawn.token), end: drawn.end };
    }

    private storeBlocks(): void {
        const complete = Math.min(this.blocks.length, Math.floor(this.held / blockTokens));
        for (; this.storedBlocks < complete; this.storedBlocks++) {
            const start = this.storedBlocks * blockTokens * this.stack.depth;
            const hash = this.blocks[this.storedBlocks];
            if (hash !== undefined) {
                this.cache.put(hash, this.keys.subarray(start, start + blockTokens * this.stack.depth));
            }
        }
    }

    /** Ensures capacity for the keys of a number of positions. */
    private reserve(positions: number): void {
        const needed = positions * this.stack.depth;
        if (needed <= this.keys.length) {
            return;
        }
        const grown = new Uint32Array(Math.max(needed, this.keys.length * 2));
        grown.set(this.keys);
        this.keys = grown;
    }
}

/** @internal */
export function engineFailure(message: string): Outcome<never> {
    return Result.err(failure(requestCodes.engineFailed, message));
}

function unpackOrUndefined(data: Uint8Array): unknown {
    try {
        return unpack(data);
    }
    catch {
        return undefined;
    }
}

/** Copies bytes into 32-bit words: a `Buffer` may be an unaligned view, and its `slice` method does not copy. */
function toWords(bytes: Uint8Array): Uint32Array<ArrayBuffer> {
    return new Uint32Array(new Uint8Array(bytes).buffer);
}
