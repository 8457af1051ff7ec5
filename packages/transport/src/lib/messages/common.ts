import { z } from "zod";

/**
 * The version of the protocol between processes. Both ends of a link must use the same version.
 *
 * @public
 */
export const protocolVersion = 1;

/**
 * Identifies a process to its peer; the first message in each direction of a link.
 *
 * @public
 */
export const helloSchema = z.object({
    type: z.literal("hello"),
    /** The version of the protocol between processes. */
    protocol: z.number().int(),
    /** The stable name of the process, as in its settings. */
    process: z.string(),
    role: z.enum(["entry", "agent", "tool"]),
    /** Unique for each start of the process. */
    incarnation: z.string(),
    dataCentre: z.string(),
});

/** @public */
export type Hello = z.infer<typeof helloSchema>;

/**
 * The load that an agent reports. It is part of answers, and also sent as a message of its own while a link carries
 * traffic.
 *
 * @public
 */
export const loadReportSchema = z.object({
    target: z.string(),
    /** Requests admitted and not yet finished. */
    running: z.number(),
    /** Requests waiting for a slot. */
    queued: z.number(),
    /** Requests that can run concurrently. */
    slots: z.number(),
    /** The recent time between tokens of one stream, in milliseconds. */
    tokenInterval: z.number(),
    /** The predicted time to the first token of a request that arrives now, in milliseconds. */
    firstTokenEstimate: z.number(),
    /** True once the target accepts no new work. */
    leaving: z.boolean(),
    /** Changes when the prefix cache was cleared, or when more of its events were lost than can be accounted for. */
    cacheGeneration: z.number().int().nonnegative().optional(),
    /** The share of the prefix cache's blocks evicted per minute; above 1 when all are replaced in less time. */
    cacheEvicted: z.number().nonnegative().optional(),
});

/** @public */
export type LoadReport = z.infer<typeof loadReportSchema>;

/**
 * A load report as a message of its own. An agent that is leaving sends one immediately on every link.
 *
 * @public
 */
export const loadMessageSchema = z.object({ type: z.literal("load"), load: loadReportSchema });

/**
 * A failure as it is sent between processes. See `Failure` for the meaning of its fields.
 *
 * @public
 */
export const wireFailureSchema = z.object({
    /** The number of the result code. */
    code: z.number().int(),
    message: z.string(),
    /** Milliseconds until a retry makes sense. */
    retryAfter: z.number().optional(),
});

/** @public */
export type WireFailure = z.infer<typeof wireFailureSchema>;
