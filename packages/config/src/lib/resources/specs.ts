import { z } from "zod";

/** A name: lower-case letters, digits, dots and hyphens, as in DNS labels. @internal */
export const nameSchema = z.string().min(1).max(63).regex(/^[a-z0-9]([-a-z0-9.]*[a-z0-9])?$/);

/** A range of layers, both ends included, counted from 0. @internal */
export const layerRangeSchema = z.strictObject({
    first: z.number().int().nonnegative(),
    last: z.number().int().nonnegative(),
});

/** @internal */
export const modelSpecSchema = z.strictObject({
    layers: z.number().int().positive(),
    /** Versions that may be served. Requests go to `current`; during a rollout also to others that have pipelines. */
    versions: z.array(nameSchema).min(1),
    current: nameSchema,
    /** Bytes of weights of one layer. */
    layerBytes: z.number().int().positive().default(1_000_000_000),
    /** Bytes of activations per token position, as passed between two stages. */
    activationBytes: z.number().int().positive().default(16_384),
    /** The number of complete pipelines that the placement aims for. */
    replicas: z.number().int().positive().default(1),
    /** The upper bound on the time to the first token, in milliseconds. */
    firstTokenBound: z.number().positive().default(540),
    /** The upper bound on the time between two tokens, in milliseconds. */
    tokenBound: z.number().positive().default(72),
    /** The maximum number of tokens of prompt and answer together. */
    contextTokens: z.number().int().positive().default(8192),
});

/**
 * The spec of a model.
 *
 * @public
 */
export type ModelSpec = z.infer<typeof modelSpecSchema>;

/** @internal */
export const adapterSpecSchema = z.strictObject({
    model: nameSchema,
    versions: z.array(nameSchema).min(1),
    bytes: z.number().int().positive(),
});

/**
 * The spec of an adapter of a model.
 *
 * @public
 */
export type AdapterSpec = z.infer<typeof adapterSpecSchema>;

/** @internal */
export const targetSpecSchema = z.strictObject({
    /** The IP address on which the target's agent listens. */
    host: z.union([z.ipv4(), z.ipv6()]),
    port: z.number().int().min(1).max(65535),
    dataCentre: nameSchema,
    region: nameSchema.default("local"),
    accelerator: z.strictObject({
        kind: nameSchema,
        /** Memory for weights, in bytes. */
        memory: z.number().int().positive().default(80_000_000_000),
        /** Speed relative to the slowest kind, whose speed is 1. */
        speed: z.number().positive().default(1),
    }).default({ kind: "generic", memory: 80_000_000_000, speed: 1 }),
    /** The link of the target's host: bandwidth in bytes per second, one-way latency in milliseconds. */
    link: z.strictObject({
        bandwidth: z.number().positive().default(1_250_000_000),
        latency: z.number().nonnegative().default(0.1),
    }).default({ bandwidth: 1_250_000_000, latency: 0.1 }),
    /** Layers that the operator pins to this target. If empty, the placement decides. */
    holds: z.array(z.strictObject({ model: nameSchema, version: nameSchema, ...layerRangeSchema.shape })).default([]),
    /** The plain service that runs on this target, if any. */
    service: nameSchema.optional(),
    /** The number of requests that the target runs concurrently. */
    slots: z.number().int().positive().default(32),
    /** True if the engine rejects orders with an old fencing token. */
    checksFence: z.boolean().default(false),
});

/**
 * The spec of a target.
 *
 * @public
 */
export type TargetSpec = z.infer<typeof targetSpecSchema>;

/** @internal */
export const serviceSpecSchema = z.strictObject({
    /** Calls that must not be repeated: method and path, with `*` for any rest of the path. The first match decides. */
    nonIdempotent: z.array(z.strictObject({ method: z.string(), path: z.string().startsWith("/") })).default([]),
    /** Milliseconds within which an answer is expected. */
    timeout: z.number().positive().default(10_000),
    /** Hours for which the claim of a call that is not idempotent is kept. */
    claimHours: z.number().positive().default(24),
    /** The maximum size of the body of a call, in bytes. */
    maxBody: z.number().int().positive().default(1_048_576),
});

/**
 * The spec of a plain service.
 *
 * @public
 */
export type ServiceSpec = z.infer<typeof serviceSpecSchema>;

/** @internal */
export const organisationSpecSchema = z.strictObject({
    /** Requests of higher priority are served first. A request may ask for a lower priority, never for a higher one. */
    priority: z.number().int().min(0).max(9).default(5),
    /** The weight of the organisation's share when capacity is short. */
    share: z.number().positive().default(1),
    /** Maximum requests per second over all entries together; absent means no limit. */
    requestsPerSecond: z.number().positive().optional(),
    /** Maximum requests in flight over all entries together; absent means no limit. */
    maxInFlight: z.number().int().positive().optional(),
    /** Models and services that the organisation may use; absent means all. */
    allow: z.array(nameSchema).optional(),
});

/**
 * The spec of an organisation.
 *
 * @public
 */
export type OrganisationSpec = z.infer<typeof organisationSpecSchema>;

/** @internal */
export const credentialSpecSchema = z.strictObject({
    /** SHA-256 of the secret token, in hexadecimal. The token itself is never stored. */
    tokenHash: z.string().regex(/^[0-9a-f]{64}$/),
    /** The role of the holder: a caller of an organisation, or a read-only or full operator. */
    role: z.enum(["caller", "viewer", "operator"]),
    organisation: nameSchema.optional(),
});

/**
 * The spec of a caller's or operator's credential.
 *
 * @public
 */
export type CredentialSpec = z.infer<typeof credentialSpecSchema>;

/**
 * The assignment of the layers of a model version to targets. Written by the placement duty, not by operators.
 *
 * @internal
 */
export const placementSpecSchema = z.strictObject({
    model: nameSchema,
    version: nameSchema,
    stages: z.array(z.strictObject({ target: nameSchema, ...layerRangeSchema.shape })).min(1),
    /** True once every stage has loaded its layers; requests use the pipeline only then. */
    ready: z.boolean(),
});

/**
 * The spec of a placement: the targets of one pipeline and the layers that each holds.
 *
 * @public
 */
export type PlacementSpec = z.infer<typeof placementSpecSchema>;
