import * as z from "zod/mini";

/**
 * What the operators declare for the gateway. All times are in milliseconds, all memory in megabytes of 10^6 bytes.
 */

/** One kind of accelerator that an engine runs on. */
export const acceleratorSchema = z.object({
    name: z.string(),
    /** Memory for layers and KV cache together. */
    memory: z.number(),
    /** Time of a decoding step against the engine's reference. */
    stepFactor: z.number(),
    /** Time of prefill against the engine's reference. */
    prefillFactor: z.number(),
});

/** A model whose layers are spread over several targets. */
export const engineSchema = z.object({
    model: z.string(),
    layers: z.number(),
    /** Memory of one layer's weights. */
    layerMemory: z.number(),
    /** KV cache of one token over all layers, in bytes. */
    cacheBytesPerToken: z.number(),
    /** Time to load all layers on one target. */
    loadTime: z.number(),
    /** Loads that may run at once without slowing each other. */
    parallelLoads: z.number(),
    /** Mean prompt and answer of a request, in tokens. */
    usualPrompt: z.number(),
    usualAnswer: z.number(),
    /** Requests that a target takes at once as the first of a chain. */
    slots: z.number(),
    /** Time of one decoding step through all layers on the reference accelerator. */
    stepTime: z.number(),
    accelerators: z.array(acceleratorSchema),
});

/** A group of targets that serve the same thing. */
export const serviceSchema = z.object({
    name: z.string(),
    engine: z.optional(engineSchema),
});

/** A service and its share of a route's requests. */
export const routeShareSchema = z.object({ service: z.string(), weight: z.number() });

/** Which requests go to which service, and under which limits. */
export const routeSchema = z.object({
    name: z.string(),
    hostname: z.string(),
    pathPrefix: z.string(),
    kind: z.enum(["idempotent", "nonIdempotent", "stream"]),
    /** The longest time a caller is kept waiting. */
    timeout: z.number(),
    /** Within this time a reply earns its full worth; for streams it counts to the first event. */
    latencyTarget: z.number(),
    /** Targets that one attempt of a caller may be sent to. */
    maxAttempts: z.number(),
    /** 0 is the most urgent. */
    priority: z.number(),
    isPublic: z.boolean(),
    /** A stream that broke off may go on in another run after the last event that was delivered. */
    isResumable: z.boolean(),
    shares: z.array(routeShareSchema),
});

/** A customer with the credentials of its callers. */
export const organisationSchema = z.object({
    name: z.string(),
    keys: z.array(z.string()),
    priority: z.optional(z.number()),
});

/** What a caller may send, and how long it may take. */
export const callerLimitsSchema = z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    headerTimeout: z.number(),
    idleTimeout: z.number(),
});

/** One version of everything that the operators declare. */
export const configurationSchema = z.object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    /** Undefined where callers need no credential. */
    organisations: z.optional(z.array(organisationSchema)),
    limits: callerLimitsSchema,
});

/** @public */
export type Accelerator = z.infer<typeof acceleratorSchema>;
/** @public */
export type Engine = z.infer<typeof engineSchema>;
/** @public */
export type Service = z.infer<typeof serviceSchema>;
/** @public */
export type Route = z.infer<typeof routeSchema>;
/** @public */
export type Organisation = z.infer<typeof organisationSchema>;
/** @public */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
/** @public */
export type Configuration = z.infer<typeof configurationSchema>;
