import * as z from "zod/mini";
import { limitStatementSchema } from "../limits/LimitStatement.js";

/** The state that a gateway reports several times a second. */
export const peerStateSchema = z.object({
    /** Ids of targets that the gateway suspects of having failed. */
    suspects: z.array(z.string()),
    /** The slowdown of targets that report being slow, by the id of the target. */
    slowTargets: z.record(z.string(), z.number()),
    /** Number of requests of this gateway in flight, by the id of the first target of their chain. */
    chainLoads: z.record(z.string(), z.number()),
    /** Number of targets that crashed while running a request, by the digest of the request. */
    crashes: z._default(z.record(z.string(), z.number()), {}),
    /** The targets that crashed while running prompts with a part, as a {@link CrashSet}, by the part. */
    partCrashes: z._default(z.record(z.string(), z.number()), {}),
    /** Milliseconds since a prompt with a part last ran without a crash, for parts that crashes are counted of. */
    safeRuns: z._default(z.record(z.string(), z.number()), {}),
    /** What targets said about their limits, by incarnation. */
    limits: z._default(z.record(z.string(), limitStatementSchema), {}),
    /** The term under which the gateway holds the placement duty; undefined unless confirmed by the store. */
    dutyTerm: z.optional(z.number()),
    /** Whether the gateway may take the placement duty: it can reach the store and is not stopping. */
    mayTakeDuty: z.boolean(),
    /** Whether the gateway turns callers away for want of processor time, or has left the load balancer's rotation. */
    isOverloaded: z.optional(z.boolean()),
});

/** @public */
export type PeerState = z.infer<typeof peerStateSchema>;
