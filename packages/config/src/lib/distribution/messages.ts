import { liveHostSchema } from "@waxwingspar/stores";
import { z } from "zod";
import { listChangeSchema } from "../membership/ListHistory.js";

/** Names of the RPC methods between configuration nodes. @internal */
export const rpcMethods = {
    since: "config.since",
    snapshot: "config.snapshot",
    progress: "config.progress",
    leaving: "config.leaving",
    offer: "config.offer",
} as const;

/** A request for everything after the requester's revision, answered as soon as there is something. @internal */
export const sinceParamsSchema = z.object({
    /** The revision in force at the requester, which the request acknowledges. */
    revision: z.number().int().nonnegative(),
    /** A prefix of the requester's digest at that revision. */
    digest: z.string(),
    /** The digest of the requester's live list. */
    list: z.string(),
    /** Milliseconds since the requester's live list was read; absent if it has none. */
    listAge: z.number().nonnegative().optional(),
    /** Milliseconds for which the response may be delayed while there is nothing new; 0 for a one-off request. */
    wait: z.number().nonnegative(),
    /** The number of children of the requester. */
    children: z.number().int().nonnegative(),
});

/** @internal */
export type SinceParams = z.infer<typeof sinceParamsSchema>;

/** @internal */
export const sinceAnswerSchema = z.object({
    revision: z.number().int().nonnegative(),
    /** Milliseconds since the responder was last synchronised with the store; absent if it never was. */
    age: z.number().nonnegative().optional(),
    /** The entries after the requester's revision, packed. */
    entries: z.string().optional(),
    /** True if the requester needs a snapshot. */
    snapshot: z.boolean().optional(),
    /** Milliseconds since the live list was read. */
    listAge: z.number().nonnegative().optional(),
    /** The changes of the live list, packed. */
    listChange: z.string().optional(),
    /** The complete live list, packed, if the requester's list is not in the responder's history. */
    list: z.string().optional(),
});

/** @internal */
export type SinceAnswer = z.infer<typeof sinceAnswerSchema>;

/** A request for a part of a snapshot. @internal */
export const snapshotParamsSchema = z.object({
    /** The revision whose snapshot is being read; absent for the first part. */
    revision: z.number().int().optional(),
    /** The number of resources received so far. */
    offset: z.number().int().nonnegative(),
});

/** @internal */
export const snapshotAnswerSchema = z.object({
    revision: z.number().int(),
    digest: z.string(),
    content: z.string(),
    /** The number of resources in the complete snapshot. */
    total: z.number().int(),
    /** The next resources, packed. */
    part: z.string(),
});

/** @internal */
export const progressParamsSchema = z.object({
    /** The unique ID of the query. A process that receives it twice, because parents changed, is counted once. */
    question: z.string(),
    /** Processes below this revision are behind. */
    revision: z.number().int(),
    /** True to include the names of all reached processes in the response. */
    names: z.boolean(),
    /** Milliseconds that the response may take. */
    timeout: z.number().positive(),
});

/** @internal */
export type ProgressParams = z.infer<typeof progressParamsSchema>;

/** A process that is behind. @internal */
export const hostBehindSchema = z.object({
    process: z.string(),
    /** The last known revision in force in the process; absent if the process did not answer. */
    revision: z.number().int().optional(),
});

/**
 * A process that has not yet put a revision in force.
 *
 * @public
 */
export type HostBehind = z.infer<typeof hostBehindSchema>;

/** @internal */
export const progressAnswerSchema = z.object({
    reached: z.number().int(),
    behindCount: z.number().int(),
    /** The first of the processes that are behind. */
    behind: z.array(hostBehindSchema),
    names: z.array(z.string()).optional(),
});

/** @internal */
export type ProgressAnswer = z.infer<typeof progressAnswerSchema>;

/** Newly accepted entries, packed, from the process that accepted them or a reader that forwards them. @internal */
export const offerParamsSchema = z.object({ entries: z.string() });

/** @internal */
export type OfferParams = z.infer<typeof offerParamsSchema>;

/** The announcement of a process that it is leaving. @internal */
export const leavingParamsSchema = z.object({ process: z.string(), incarnation: z.string() });

/** @internal */
export const listSchema = z.array(liveHostSchema);
export { listChangeSchema };
