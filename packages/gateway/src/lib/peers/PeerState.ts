import * as z from "zod/mini";

/** What a gateway tells of itself, several times a second. */
export const peerStateSchema = z.object({
    /** Ids of targets that seem lost to it. */
    suspects: z.array(z.string()),
    /** Targets whose own reports to it say that they are slow, by id. */
    slowTargets: z.record(z.string(), z.number()),
    /** Requests of this process in flight, by the first target of their chain. */
    chainLoads: z.record(z.string(), z.number()),
    /** Targets that crashed under a request, by its digest. */
    crashes: z._default(z.record(z.string(), z.number()), {}),
    /** The term under which it holds the placement duty; undefined when it does not, or the store has not confirmed it. */
    dutyTerm: z.optional(z.number()),
    /** Whether it could take the duty: it reaches the store, and is not stopping. */
    mayTakeDuty: z.boolean(),
});

/** @public */
export type PeerState = z.infer<typeof peerStateSchema>;
