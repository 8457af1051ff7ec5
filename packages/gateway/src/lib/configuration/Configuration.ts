import * as z from "zod/mini";

/**
 * The configuration that operators declare for the gateway. All times are in milliseconds, all memory in megabytes of
 * 10^6 bytes.
 */

/** An accelerator type that an engine runs on. */
export const acceleratorSchema = z.object({
    name: z.string(),
    /** Memory shared by layers and KV cache. */
    memory: z.number(),
    /** Time of a decoding step, relative to the engine's reference accelerator. */
    stepFactor: z.number(),
    /** Time of prefill, relative to the engine's reference accelerator. */
    prefillFactor: z.number(),
});

/** The time that a message takes from one data centre to another. */
export const delaySchema = z.object({ from: z.string(), to: z.string(), delay: z.number() });

/** A model whose layers are spread over several targets. */
export const engineSchema = z.object({
    model: z.string(),
    layers: z.number(),
    /** Memory of one layer's weights. */
    layerMemory: z.number(),
    /** KV cache size of one token across all layers, in bytes. */
    cacheBytesPerToken: z.number(),
    /** Time to load all layers on one target. */
    loadTime: z.number(),
    /** Loads that can run concurrently without slowing each other down. */
    parallelLoads: z.number(),
    /** Mean prompt length of a request, in tokens. */
    usualPrompt: z.number(),
    /** Mean answer length of a request, in tokens. */
    usualAnswer: z.number(),
    /** Concurrent requests that a target accepts as the first target of a chain. */
    slots: z.number(),
    /** Time of one decoding step through all layers on the reference accelerator. */
    stepTime: z.number(),
    accelerators: z.array(acceleratorSchema),
    /** Bytes of the activations of one token, which each target of a chain sends to the next one. */
    activationBytes: z.optional(z.number()),
    /** Bandwidth of the link between two data centres, which all chains share, in megabits per second. */
    crossingBandwidth: z.optional(z.number()),
    /** Decoding steps of a pass, after which a target sends its results on; a stream gets one event for each pass. */
    stepsPerPass: z.optional(z.number()),
    /** Time by which each decoding request lengthens a step of all layers on the reference accelerator. */
    requestStepTime: z.optional(z.number()),
    /** Time by which 1,000 tokens of context lengthen a step of all layers on the reference accelerator. */
    contextStepTime: z.optional(z.number()),
    /** Prompt tokens that the reference accelerator processes in a second, through all layers. */
    prefillRate: z.optional(z.number()),
    /** Time of prefill through all layers on the reference accelerator for a million pairs of prompt tokens. */
    prefillPairTime: z.optional(z.number()),
    /** Maximum number of prompt tokens that a target processes in one step. */
    prefillChunk: z.optional(z.number()),
    delays: z.optional(z.array(delaySchema)),
});

/** A group of interchangeable targets. An engine is set where a request runs over a chain of them. */
export const serviceSchema = z.object({
    name: z.string(),
    engine: z.optional(engineSchema),
});

/** A service and its weight among the services of a route. */
export const routeShareSchema = z.object({ service: z.string(), weight: z.number() });

/** Maps requests to services and sets their limits. */
export const routeSchema = z.object({
    name: z.string(),
    hostname: z.string(),
    pathPrefix: z.string(),
    kind: z.enum(["idempotent", "nonIdempotent", "stream"]),
    /** Maximum time until the caller gets its final answer. */
    timeout: z.number(),
    /** Latency up to which a reply keeps its full value; for streams, latency of the first event. */
    latencyTarget: z.number(),
    /** Maximum number of targets that one request of a caller may be sent to. */
    maxAttempts: z.number(),
    /** 0 is the most urgent. */
    priority: z.number(),
    isPublic: z.boolean(),
    /** Whether an interrupted stream may resume in another run after the last delivered event. */
    isResumable: z.boolean(),
    shares: z.array(routeShareSchema),
    /** The longest interval between two events of a stream that is in time. */
    maxEventInterval: z.optional(z.number()),
});

/** A customer and the credentials of its callers. */
export const organisationSchema = z.object({
    name: z.string(),
    keys: z.array(z.string()),
    priority: z.optional(z.number()),
});

/** Size limits and timeouts for requests from callers. */
export const callerLimitsSchema = z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    headerTimeout: z.number(),
    idleTimeout: z.number(),
});

/** One version of the whole configuration. */
export const configurationSchema = z.object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    /** Undefined if callers need no credential. */
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

/** Whether an interrupted answer on a route may be continued by another run of its request. */
export function mayResume(route: Route): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
}
