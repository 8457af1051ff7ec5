import { type Outcome } from "@waxwingspar/utils";
import { z } from "zod";

/**
 * The layers of a model version that an engine has loaded.
 *
 * @public
 */
export const heldLayersSchema = z.object({
    model: z.string(),
    version: z.string(),
    /** The first layer held, counted from 0. */
    first: z.number().int().nonnegative(),
    /** The last layer held, inclusive. */
    last: z.number().int().nonnegative(),
    /** Names of the adapters loaded for this version. */
    adapters: z.array(z.string()).default([]),
});

/**
 * A range of layers of one version, as {@link heldLayersSchema} describes it.
 *
 * @public
 */
export type HeldLayers = z.infer<typeof heldLayersSchema>;

/**
 * The capacity and role of an engine, and the layers it holds.
 *
 * @public
 */
export const engineInfoSchema = z.object({
    /** The maximum number of requests in one batch. */
    slots: z.number().int().positive(),
    held: z.array(heldLayersSchema),
    /** Total bytes of memory for weights. */
    memory: z.number(),
    /** Free bytes of memory for weights. */
    freeMemory: z.number(),
    /** The current role of the engine. */
    role: z.enum(["serving", "prefill", "idle"]),
    /** True if the engine refuses orders with an outdated fencing token. */
    checksFence: z.boolean(),
    /** The highest fencing token seen; undefined if the engine does not track it or has seen none. */
    fence: z.number().int().optional(),
});

/**
 * The type of {@link engineInfoSchema}.
 *
 * @public
 */
export type EngineInfo = z.infer<typeof engineInfoSchema>;

/**
 * A token sequence whose KV cache the engine holds.
 *
 * @public
 */
export const sessionSchema = z.object({
    /** The session ID, unique within the engine; the agent builds it from the request and its epoch. */
    session: z.string(),
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    first: z.number().int(),
    last: z.number().int(),
    /** Steps with a higher priority are batched first. */
    priority: z.number().int(),
    temperature: z.number().optional(),
    topP: z.number().optional(),
    seed: z.number().int().optional(),
    /** The tokens of the prompt, if known, for lookups in the prefix cache. */
    tokens: z.array(z.number().int()).optional(),
});

/**
 * The type of {@link sessionSchema}.
 *
 * @public
 */
export type Session = z.infer<typeof sessionSchema>;

/**
 * Runs consecutive positions of one session. Exactly one of `tokens` (if the session starts at layer 0) and
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
    /** True if this engine holds the last layer and is to sample the next token. */
    sample: z.boolean(),
});

/**
 * The type of {@link stepSchema}.
 *
 * @public
 */
export type Step = z.infer<typeof stepSchema>;

/**
 * The output of a step: activations for the next stage, or a token from the last stage.
 *
 * @public
 */
export const stepResultSchema = z.object({
    /** The input of the next stage; undefined if a token was sampled. */
    activations: z.instanceof(Uint8Array).optional(),
    /** The sampled token, if the step requested one. */
    token: z.number().int().optional(),
    text: z.string().optional(),
    /** True if the token ends the answer. */
    end: z.boolean().optional(),
});

/**
 * The type of {@link stepResultSchema}.
 *
 * @public
 */
export type StepResult = z.infer<typeof stepResultSchema>;

/**
 * The load of an engine.
 *
 * @public
 */
export const engineLoadSchema = z.object({
    running: z.number(),
    waiting: z.number(),
    /** Fraction of the KV cache memory in use, from 0 to 1. */
    cacheUse: z.number(),
    /** Age of these values in milliseconds. */
    age: z.number(),
});

/**
 * The type of {@link engineLoadSchema}.
 *
 * @public
 */
export type EngineLoad = z.infer<typeof engineLoadSchema>;

/**
 * A change to the prefix cache. Events are delivered with a delay; a gap in `sequence` means that events were lost.
 *
 * @public
 */
export const cacheEventSchema = z.object({
    sequence: z.number().int(),
    kind: z.enum(["stored", "evicted", "cleared"]),
    /** Hashes of prompt blocks; each covers the whole prefix up to the end of its block. */
    blocks: z.array(z.string()),
});

/**
 * The type of {@link cacheEventSchema}.
 *
 * @public
 */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/**
 * A command to an engine. Orders are idempotent by `id`: a repeated order takes effect only once.
 *
 * @public
 */
export const orderSchema = z.object({
    /** Unique for each order; a retry carries the same ID. */
    id: z.string(),
    /** Fencing token: the term of the placement lease, which increases with each holder. */
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
 * A model engine on a target. It uses continuous batching: steps submitted at the same time run in one batch.
 *
 * @public
 */
export interface Engine {
    info(): Promise<Outcome<EngineInfo>>;
    /** Tokenizes text with the vocabulary of a model. */
    tokenize(model: string, text: string): Promise<Outcome<number[]>>;
    /**
     * Opens a session.
     *
     * @returns The number of leading positions of `session.tokens` found in the prefix cache.
     */
    open(session: Session): Promise<Outcome<{ cached: number; }>>;
    /** Runs the session's layers on the next positions. The steps of a session must be in order and without gaps. */
    step(step: Step): Promise<Outcome<StepResult>>;
    /** Drops a session and cancels its steps; idempotent. Its prompt may stay in the prefix cache. */
    close(session: string): Promise<void>;
    /** Exports the KV cache of a session; `positions` is the number of leading positions that it covers. */
    exportCache(session: string): Promise<Outcome<{ positions: number; data: Uint8Array; }>>;
    /** Imports an exported KV cache into a session of the same layers that holds no positions yet. */
    importCache(session: string, data: Uint8Array): Promise<Outcome<{ positions: number; }>>;
    load(): Promise<Outcome<EngineLoad>>;
    /** Returns the cache events after a sequence number that the engine still retains. */
    cacheEvents(after: number): Promise<Outcome<CacheEvent[]>>;
    /** Executes an order; an engine that checks fencing tokens refuses an outdated one with `staleFence`. */
    order(order: Order): Promise<Outcome<void>>;
}
