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

/** What a process asks for: everything after its own revision, as soon as there is something. @internal */
export const sinceParamsSchema = z.object({
    /** The revision in force at the asker, which thereby acknowledges it. */
    revision: z.number().int().nonnegative(),
    /** The beginning of the asker's digest at that revision. */
    digest: z.string(),
    /** The digest of the asker's live list. */
    list: z.string(),
    /** Milliseconds since the asker's live list was read; absent if it has none. */
    listAge: z.number().nonnegative().optional(),
    /** Milliseconds for which the answer may be held back while there is nothing new; 0 for a question in passing. */
    wait: z.number().nonnegative(),
    /** How many processes learn from the asker. */
    children: z.number().int().nonnegative(),
});

/** @internal */
export type SinceParams = z.infer<typeof sinceParamsSchema>;

/** @internal */
export const sinceAnswerSchema = z.object({
    revision: z.number().int().nonnegative(),
    /** Milliseconds since the answer was in step with the store; absent if it never was. */
    age: z.number().nonnegative().optional(),
    /** The entries after the asker's revision, packed. */
    entries: z.string().optional(),
    /** True when the asker needs a snapshot. */
    snapshot: z.boolean().optional(),
    /** Milliseconds since the live list was read. */
    listAge: z.number().nonnegative().optional(),
    /** What changed in the live list, packed. */
    listChange: z.string().optional(),
    /** The whole live list, packed, for an asker whose list is not known here. */
    list: z.string().optional(),
});

/** @internal */
export type SinceAnswer = z.infer<typeof sinceAnswerSchema>;

/** Asks for a part of a snapshot. @internal */
export const snapshotParamsSchema = z.object({
    /** The revision whose snapshot is being read; absent for the first part. */
    revision: z.number().int().optional(),
    /** How many resources were received. */
    offset: z.number().int().nonnegative(),
});

/** @internal */
export const snapshotAnswerSchema = z.object({
    revision: z.number().int(),
    digest: z.string(),
    content: z.string(),
    /** Resources of the whole snapshot. */
    total: z.number().int(),
    /** The next resources, packed. */
    part: z.string(),
});

/** @internal */
export const progressParamsSchema = z.object({
    /** Unique for each question. A process that it reaches twice, along a changed path, counts once. */
    question: z.string(),
    /** Processes below this revision are behind. */
    revision: z.number().int(),
    /** True to have every process named that was reached. */
    names: z.boolean(),
    /** Milliseconds that the answer may take. */
    timeout: z.number().positive(),
});

/** @internal */
export type ProgressParams = z.infer<typeof progressParamsSchema>;

/** A process that is behind. @internal */
export const hostBehindSchema = z.object({
    process: z.string(),
    /** The revision in force there, as last heard; absent when it was not heard of. */
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
    /** The first of those behind. */
    behind: z.array(hostBehindSchema),
    names: z.array(z.string()).optional(),
});

/** @internal */
export type ProgressAnswer = z.infer<typeof progressAnswerSchema>;

/** Entries that were just accepted, packed, from the process that accepted them. @internal */
export const offerParamsSchema = z.object({ entries: z.string() });

/** @internal */
export type OfferParams = z.infer<typeof offerParamsSchema>;

/** A process's own word that it leaves. @internal */
export const leavingParamsSchema = z.object({ process: z.string(), incarnation: z.string() });

/** @internal */
export const listSchema = z.array(liveHostSchema);
export { listChangeSchema };
