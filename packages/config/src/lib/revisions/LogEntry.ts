import { z } from "zod";
import { type Kind, type Resource, specSchemas } from "../resources/Resource.js";
import { nameSchema } from "../resources/specs.js";

/** All kinds of resources. Except for a target's service, references point to a kind earlier in this list. @public */
export const kinds = Object.keys(specSchemas) as Kind[];

/** @internal */
export const kindSchema = z.enum(kinds as [Kind, ...Kind[]]);

/** A resource that is set to a spec, or removed if there is no spec. @internal */
export const changeSchema = z.object({
    kind: kindSchema,
    name: nameSchema,
    spec: z.unknown().optional(),
});

/**
 * A change of one resource, as stored in the log.
 *
 * @public
 */
export type Change = z.infer<typeof changeSchema>;

/**
 * An entry of the revision log: changes that took effect atomically.
 *
 * @internal
 */
export const logEntrySchema = z.object({
    revision: z.number().int().positive(),
    /** The write ID of the transaction that stored the entry. */
    writeId: z.string(),
    /** The ID that the operator gave the change. A repeated request with the same ID gets the original result. */
    changeId: z.string(),
    changes: z.array(changeSchema),
    /** The order-independent content sum over all resources after this revision. */
    content: z.string(),
    /** The digest of the chain up to this revision. */
    digest: z.string(),
});

/**
 * An entry of the revision log: changes that took effect atomically.
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
 * The head row, which holds the newest revision.
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

/** The key of a resource in maps, and the last part of the key of its row in the store. @internal */
export function resourceKey(kind: Kind, name: string): string {
    return `${kind}/${name}`;
}
