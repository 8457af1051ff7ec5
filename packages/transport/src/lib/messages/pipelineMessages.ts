import { z } from "zod";
import { loadReportSchema, wireFailureSchema } from "./common.js";

/**
 * One stage of the chain that serves a request: an agent and the layers that its target runs.
 *
 * @public
 */
export const stageSchema = z.object({
    target: z.string(),
    /** The agent's IP address. */
    host: z.string(),
    port: z.number().int(),
    /** The first layer of the stage, counted from 0. */
    first: z.number().int().nonnegative(),
    /** The last layer of the stage, included. */
    last: z.number().int().nonnegative(),
});

/** @public */
export type Stage = z.infer<typeof stageSchema>;

/**
 * How tokens are sampled and when generation ends.
 *
 * @public
 */
export const samplingSchema = z.object({
    maxTokens: z.number().int().positive(),
    temperature: z.number().optional(),
    topP: z.number().optional(),
    seed: z.number().int().optional(),
    stop: z.array(z.string()).default([]),
});

/** @public */
export type Sampling = z.infer<typeof samplingSchema>;

/**
 * A stage of an earlier attempt from which the KV cache of its layers can be fetched, by the RPC method `kv.export`.
 *
 * @public
 */
export const exporterSchema = stageSchema.extend({ epoch: z.number().int().nonnegative() });

/** @public */
export type Exporter = z.infer<typeof exporterSchema>;

/** Identifies an attempt of a request; every pipeline message carries these two fields. */
const attempt = {
    request: z.string(),
    /** Grows with every attempt of the same request. A stage refuses an epoch lower than one it has seen. */
    epoch: z.number().int().nonnegative(),
};

/**
 * Entry to the agent of the first stage (the head): run this request.
 *
 * @public
 */
export const openMessageSchema = z.object({
    type: z.literal("open"),
    ...attempt,
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    organisation: z.string(),
    /** Requests with a higher value run first. */
    priority: z.number().int(),
    /** Milliseconds left until the caller's deadline, counted from the arrival of this message. */
    timeLeft: z.number(),
    /** Milliseconds left until the bound on the first token; the head refuses what it predicts to miss. */
    firstTokenBound: z.number(),
    prompt: z.string(),
    /** Tokens already delivered to the caller by earlier attempts. The attempt continues after them. */
    produced: z.array(z.number().int()),
    sampling: samplingSchema,
    /** The chain, in the order of layers. The head is the first. */
    stages: z.array(stageSchema).min(1),
    /** The claim under which a request that is not idempotent runs; see docs/design/at-most-once.md. */
    claim: z.string().optional(),
    /** Stages of an earlier attempt that are still alive and can export the KV cache of their layers. */
    exporters: z.array(exporterSchema).default([]),
    /** Tokens that the head may send before the entry grants more. */
    credit: z.number().int(),
    traceparent: z.string().optional(),
});

/** @public */
export type OpenMessage = z.infer<typeof openMessageSchema>;

/**
 * Entry to head: tokens up to this position of the answer (excluded) may now be sent. Stage to the previous stage:
 * frames of the prompt up to this position of the sequence (excluded) may now be sent.
 *
 * @public
 */
export const creditMessageSchema = z.object({ type: z.literal("credit"), ...attempt, upTo: z.number().int() });

/** Entry to head, and head to the other stages: stop, and free all resources held for the request. @public */
export const cancelMessageSchema = z.object({
    type: z.literal("cancel"),
    ...attempt,
    /** True when another attempt is likely to follow, so that the KV cache should stay for export for a short time. */
    retain: z.boolean().optional(),
});

/** Head to entry: consecutive tokens of the answer. @public */
export const tokensMessageSchema = z.object({
    type: z.literal("tokens"),
    ...attempt,
    /** The position of the first of these tokens in the answer, counted from 0. */
    position: z.number().int().nonnegative(),
    ids: z.array(z.number().int()),
    texts: z.array(z.string()),
});

/** @public */
export type TokensMessage = z.infer<typeof tokensMessageSchema>;

/** Head to entry: the answer is complete. @public */
export const doneMessageSchema = z.object({
    type: z.literal("done"),
    ...attempt,
    finish: z.enum(["stop", "length"]),
    promptTokens: z.number().int(),
    /** How many prompt tokens came from a prefix cache. */
    cachedTokens: z.number().int(),
    /** How many tokens the answer has, over all attempts. */
    answerTokens: z.number().int(),
    /** Text before a stop string that belongs to the token in which the stop string begins. No `tokens` carries it. */
    text: z.string().optional(),
    load: loadReportSchema.optional(),
});

/** @public */
export type DoneMessage = z.infer<typeof doneMessageSchema>;

/** Head to entry: this attempt ended without a complete answer. @public */
export const failedMessageSchema = z.object({
    type: z.literal("failed"),
    ...attempt,
    failure: wireFailureSchema,
    /** The target at fault, when one is known. */
    target: z.string().optional(),
    /** True when that target is leaving but still running, so that its KV cache can be exported. */
    exportable: z.boolean().optional(),
    load: loadReportSchema.optional(),
});

/** @public */
export type FailedMessage = z.infer<typeof failedMessageSchema>;

/** Head to each later stage: take part in this attempt. Sent before the first frame. @public */
export const joinMessageSchema = z.object({
    type: z.literal("join"),
    ...attempt,
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    organisation: z.string(),
    priority: z.number().int(),
    timeLeft: z.number(),
    sampling: samplingSchema,
    stages: z.array(stageSchema).min(1),
    exporters: z.array(exporterSchema).default([]),
    /** The index in `stages` of the stage that receives this message. */
    index: z.number().int().positive(),
    /** The tokens of the prompt and of earlier attempts' answer, for the stage's prefix cache. */
    tokens: z.array(z.number().int()).optional(),
    traceparent: z.string().optional(),
});

/** @public */
export type JoinMessage = z.infer<typeof joinMessageSchema>;

/** Stage to next stage: the activations of consecutive positions. @public */
export const frameMessageSchema = z.object({
    type: z.literal("frame"),
    ...attempt,
    /** The first position in the sequence (prompt and answer together) that this frame carries. */
    position: z.number().int().nonnegative(),
    /** How many positions it carries. */
    count: z.number().int().positive(),
    /** The layer that must run next. */
    layer: z.number().int().nonnegative(),
    /** True while the prompt or tokens of earlier attempts are replayed and no token is to be sampled. */
    prefill: z.boolean(),
    data: z.instanceof(Uint8Array),
});

/** @public */
export type FrameMessage = z.infer<typeof frameMessageSchema>;

/** Last stage to head: the token sampled after a position. @public */
export const sampledMessageSchema = z.object({
    type: z.literal("sampled"),
    ...attempt,
    /** The position in the sequence of the sampled token. */
    position: z.number().int().nonnegative(),
    token: z.number().int(),
    text: z.string(),
    /** True when the model ended the answer with this token. */
    end: z.boolean(),
});

/** Stage to head: ready to receive frames. The head starts after the shortest cached prefix of all stages. @public */
export const joinedMessageSchema = z.object({
    type: z.literal("joined"),
    ...attempt,
    target: z.string(),
    /** How many leading positions the stage already holds in its KV cache. */
    cached: z.number().int().nonnegative(),
});

/** Stage to head: this stage cannot continue the attempt. @public */
export const stageFailedMessageSchema = z.object({
    type: z.literal("stageFailed"),
    ...attempt,
    target: z.string(),
    /** True when that target is leaving but still running, so that its KV cache can be exported. */
    exportable: z.boolean().optional(),
    failure: wireFailureSchema,
});
