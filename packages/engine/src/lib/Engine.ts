import { type Outcome } from "@waxwingspar/utils";
import { z } from "zod";

/**
 * A model version, whole or in part, that an engine holds ready.
 *
 * @public
 */
export const heldLayersSchema = z.object({
    model: z.string(),
    version: z.string(),
    /** The first layer held, counted from 0. */
    first: z.number().int().nonnegative(),
    /** The last layer held, included. */
    last: z.number().int().nonnegative(),
    /** Names of the adapters that are loaded for this version. */
    adapters: z.array(z.string()).default([]),
});

/**
 * A range of layers of one version, as {@link heldLayersSchema} describes it.
 *
 * @public
 */
export type HeldLayers = z.infer<typeof heldLayersSchema>;

/**
 * What an engine is, and which layers it holds.
 *
 * @public
 */
export const engineInfoSchema = z.object({
    /** Requests that the engine runs in one batch. */
    slots: z.number().int().positive(),
    held: z.array(heldLayersSchema),
    /** Bytes of memory for weights, in all and free. */
    memory: z.number(),
    freeMemory: z.number(),
    /** The role the engine plays now. */
    role: z.enum(["serving", "prefill", "idle"]),
    /** True if the engine refuses an order that carries an old fencing number. */
    checksFence: z.boolean(),
    /** The highest fencing number seen, when the engine keeps one. */
    fence: z.number().int().optional(),
});

/**
 * The type of {@link engineInfoSchema}.
 *
 * @public
 */
export type EngineInfo = z.infer<typeof engineInfoSchema>;

/**
 * A sequence that an engine is to hold KV cache for.
 *
 * @public
 */
export const sessionSchema = z.object({
    /** Unique in the engine; the agent uses request and epoch. */
    session: z.string(),
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    first: z.number().int(),
    last: z.number().int(),
    /** Higher goes first. */
    priority: z.number().int(),
    temperature: z.number().optional(),
    topP: z.number().optional(),
    seed: z.number().int().optional(),
    /** The tokens of the prompt, where known, for the prefix cache. */
    tokens: z.array(z.number().int()).optional(),
});

/**
 * The type of {@link sessionSchema}.
 *
 * @public
 */
export type Session = z.infer<typeof sessionSchema>;

/**
 * Work on consecutive positions of one session. Exactly one of `tokens` (for an engine that holds layer 0) and
 * `activations` is set.
 *
 * @public
 */
export const stepSchema = z.object({
    session: z.string(),
    position: z.number().int().nonnegative(),
    count: z.number().int().positive(),
    tokens: z.array(z.number().int()).optional(),
    activations: z.instanceof(Uint8Array).optional(),
    /** True when the last layer is held here and the next token is wanted. */
    sample: z.boolean(),
});

/**
 * The type of {@link stepSchema}.
 *
 * @public
 */
export type Step = z.infer<typeof stepSchema>;

/**
 * What a step gave: activations for the next stage, or a token from the last one.
 *
 * @public
 */
export const stepResultSchema = z.object({
    /** The output for the next stage, when this engine does not hold the last layer. */
    activations: z.instanceof(Uint8Array).optional(),
    /** The token drawn, when one was wanted. */
    token: z.number().int().optional(),
    text: z.string().optional(),
    /** True when the model ended the answer. */
    end: z.boolean().optional(),
});

/**
 * The type of {@link stepResultSchema}.
 *
 * @public
 */
export type StepResult = z.infer<typeof stepResultSchema>;

/**
 * How busy an engine is.
 *
 * @public
 */
export const engineLoadSchema = z.object({
    running: z.number(),
    waiting: z.number(),
    /** Share of the KV cache memory in use, from 0 to 1. */
    cacheUse: z.number(),
    /** How old the figures are, in milliseconds. */
    age: z.number(),
});

/**
 * The type of {@link engineLoadSchema}.
 *
 * @public
 */
export type EngineLoad = z.infer<typeof engineLoadSchema>;

/**
 * A change of the prefix cache. Events come late; a jump in `sequence` means that some were lost.
 *
 * @public
 */
export const cacheEventSchema = z.object({
    sequence: z.number().int(),
    kind: z.enum(["stored", "evicted", "cleared"]),
    /** Hashes of prompt blocks, each over the whole prefix up to its end. */
    blocks: z.array(z.string()),
});

/**
 * The type of {@link cacheEventSchema}.
 *
 * @public
 */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/**
 * An order to an engine. Orders are idempotent: the same order twice has the effect of one.
 *
 * @public
 */
export const orderSchema = z.object({
    /** Unique for each order; a repeat carries the same. */
    id: z.string(),
    /** Grows with each change of the duty's holder. */
    fence: z.number().int(),
    action: z.discriminatedUnion("kind", [
        z.object({
            kind: z.literal("load"),
            model: z.string(),
            version: z.string(),
            first: z.number().int(),
            last: z.number().int(),
            bytes: z.number(),
        }),
        z.object({ kind: z.literal("unload"), model: z.string(), version: z.string() }),
        z.object({ kind: z.literal("loadAdapter"), model: z.string(), version: z.string(), adapter: z.string() }),
        z.object({ kind: z.literal("unloadAdapter"), model: z.string(), version: z.string(), adapter: z.string() }),
        z.object({ kind: z.literal("setRole"), role: z.enum(["serving", "prefill", "idle"]) }),
    ]),
});

/**
 * The type of {@link orderSchema}.
 *
 * @public
 */
export type Order = z.infer<typeof orderSchema>;

/**
 * A model engine on a target. It batches continuously: steps submitted at the same time run together.
 *
 * @public
 */
export interface Engine {
    info(): Promise<Outcome<EngineInfo>>;
    /** Turns text into tokens with the vocabulary of a model. */
    tokenize(model: string, text: string): Promise<Outcome<number[]>>;
    /**
     * Opens a session.
     *
     * @returns How many leading positions of `session.tokens` are in the prefix cache already.
     */
    open(session: Session): Promise<Outcome<{ cached: number; }>>;
    /** Runs the layers of the session on the next positions. Steps of one session must be in order, without gaps. */
    step(step: Step): Promise<Outcome<StepResult>>;
    /** Drops a session and cancels its steps. Its prompt may stay in the prefix cache. Closing twice is harmless. */
    close(session: string): Promise<void>;
    /** Exports the KV cache of a session up to a position (excluded). */
    exportCache(session: string): Promise<Outcome<{ positions: number; data: Uint8Array; }>>;
    /** Puts an exported KV cache into a session that holds the same layers and no positions yet. */
    importCache(session: string, data: Uint8Array): Promise<Outcome<{ positions: number; }>>;
    load(): Promise<Outcome<EngineLoad>>;
    /** Cache events after a sequence number, as far as the engine still has them. */
    cacheEvents(after: number): Promise<Outcome<CacheEvent[]>>;
    /** Carries out an order; `platformCodes.staleFence` from an engine that checks fences. */
    order(order: Order): Promise<Outcome<void>>;
}
