import { z } from "zod";

const statusSchema = z.object({
    acceptedRevision: z.number(),
    inForce: z.boolean(),
    hostsBehind: z.object({ count: z.number(), names: z.array(z.string()) }),
});

/** A resource as the API returns it. @internal */
export const apiResourceSchema = z.object({
    kind: z.string(),
    name: z.string(),
    resourceVersion: z.number(),
    spec: z.record(z.string(), z.unknown()),
    status: statusSchema.optional(),
});

export type ApiResource = z.infer<typeof apiResourceSchema>;

/** @internal */
export const resourceListSchema = z.object({ revision: z.number(), items: z.array(apiResourceSchema) });

/** The answer to a change. @internal */
export const changeAnswerSchema = z.object({
    revision: z.number(),
    changeId: z.string(),
    dryRun: z.boolean(),
    results: z.array(z.object({
        kind: z.string(),
        name: z.string(),
        action: z.enum(["created", "updated", "deleted", "unchanged"]),
        resourceVersion: z.number(),
        fields: z.array(z.object({ path: z.string(), before: z.unknown().optional(), after: z.unknown().optional() })),
    })),
});

export type ChangeAnswer = z.infer<typeof changeAnswerSchema>;

/** The status of the whole configuration. @internal */
export const siteStatusSchema = z.object({
    acceptedRevision: z.number(),
    inForce: z.boolean(),
    hosts: z.number(),
    hostsBehind: z.object({
        count: z.number(),
        hosts: z.array(z.object({ process: z.string(), revision: z.number().optional() })),
    }),
    ready: z.boolean(),
    storeAge: z.number().optional(),
});

export type SiteStatus = z.infer<typeof siteStatusSchema>;

/** A line of a watch response. @internal */
export const watchLineSchema = z.object({
    type: z.enum(["set", "removed", "bookmark", "error"]),
    revision: z.number().optional(),
    kind: z.string().optional(),
    name: z.string().optional(),
    message: z.string().optional(),
});
