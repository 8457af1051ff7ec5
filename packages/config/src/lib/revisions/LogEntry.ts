import { z } from "zod";
import { type Kind, type Resource, specSchemas } from "../resources/Resource.js";
import { nameSchema } from "../resources/specs.js";

/** Every kind of resource, in the order in which references point from right to left. @public */
export const kinds = Object.keys(specSchemas) as Kind[];

/** @internal */
export const kindSchema = z.enum(kinds as [Kind, ...Kind[]]);

/** A resource set to a spec, or removed when there is no spec. @internal */
export const changeSchema = z.object({
    kind: kindSchema,
    name: nameSchema,
    spec: z.unknown().optional(),
});

/**
 * A change of one resource, as the log holds it.
 *
 * @public
 */
export type Change = z.infer<typeof changeSchema>;

/**
 * One revision: changes that took effect together.
 *
 * @internal
 */
export const logEntrySchema = z.object({
    revision: z.number().int().positive(),
    /** The write id of the transaction that stored it. */
    writeId: z.string(),
    /** The id that the operator gave the change; a repeated request with the same id is answered from the log. */
    changeId: z.string(),
    changes: z.array(changeSchema),
    /** The order-free sum over all resources after this revision. */
    content: z.string(),
    /** The digest chain up to this revision. */
    digest: z.string(),
});

/**
 * One revision: changes that took effect together.
 *
 * @public
 */
export type LogEntry = z.infer<typeof logEntrySchema>;

/** @internal */
export const resourceSchema = z.object({
    kind: kindSchema,
    name: nameSchema,
    spec: z.unknown(),
    resourceVersion: z.number().int().positive(),
});

/**
 * All resources at one revision.
 *
 * @public
 */
export interface Snapshot {
    readonly revision: number;
    readonly digest: string;
    readonly content: string;
    readonly resources: readonly Resource[];
}

/**
 * The row that counts revisions.
 *
 * @internal
 */
export const headSchema = z.object({
    revision: z.number().int().nonnegative(),
    digest: z.string(),
    content: z.string(),
});

/** @internal */
export type Head = z.infer<typeof headSchema>;

/** The key of a resource in maps and in the store's rows. @internal */
export function resourceKey(kind: Kind, name: string): string {
    return `${kind}/${name}`;
}
