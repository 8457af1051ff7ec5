import { type Transaction } from "@waxwingspar/stores";
import { createHash } from "node:crypto";
import { z } from "zod";
import { canonicalJson } from "../revisions/digest.js";
import { kindSchema, type LogEntry, resourceKey } from "../revisions/LogEntry.js";
import { headKey, type HeadRow, logKey, resourceRowKey } from "../revisions/logRows.js";
import { type DesiredChange } from "../validation/parseDesired.js";
import { type ChangeResult } from "./planChanges.js";

const changePrefix = "config/change/";

/** The row that records an accepted change under its ID, so that the change is never accepted twice. @internal */
export const changeRowSchema = z.object({
    revision: z.number().int(),
    writeId: z.string(),
    /** A digest of the request, to distinguish a repeated request from another one with the same ID. */
    asked: z.string(),
    results: z.array(z.object({
        kind: kindSchema,
        name: z.string(),
        action: z.enum(["created", "updated", "deleted", "unchanged"]),
        resourceVersion: z.number().int(),
        fields: z.array(z.never()),
    })),
});

/** @internal */
export interface ChangeRow {
    readonly revision: number;
    readonly writeId: string;
    readonly asked: string;
    readonly results: readonly ChangeResult[];
}

/**
 * The value of {@link ChangeRow.asked} for a change that was restored from its log entry, so that its request is not
 * known. Any request with the ID of such a change counts as a repeat.
 *
 * @internal
 */
export const unknownRequestDigest = "";

/** Builds the transaction that writes an entry. @internal */
export function buildTransaction(
    entry: LogEntry,
    row: ChangeRow,
    head: HeadRow,
    versions: ReadonlyMap<string, number>,
    expired: readonly string[],
): Transaction {
    const { revision, digest, content } = entry;
    const resources = entry.changes.map(({ kind, name, spec }) => ({
        key: resourceRowKey(resourceKey(kind, name)),
        value: spec === undefined ? undefined : { kind, name, spec, resourceVersion: revision },
    }));
    return {
        writeId: entry.writeId,
        conditions: [
            { key: headKey, version: head.version },
            { key: logKey(revision), version: 0 },
            { key: changeKey(entry.changeId), version: 0 },
            ...resources.map(({ key }) => ({ key, version: versions.get(key) ?? 0 })),
        ],
        writes: [
            { key: headKey, value: { revision, digest, content } },
            { key: logKey(revision), value: entry },
            { key: changeKey(entry.changeId), value: row },
            ...resources,
            ...expired.map(key => ({ key })),
        ],
    };
}

/** The digest of a request, which consists of its changes. @internal */
export function requestDigest(changes: readonly DesiredChange[]): string {
    return createHash("sha256").update(canonicalJson(changes)).digest("hex");
}

/** The key of the row that records a change. @internal */
export function changeKey(changeId: string): string {
    return changePrefix + changeId;
}

/** Removes the field differences from a result, so that the record of the change holds no old values. @internal */
export function withoutFields(result: ChangeResult): ChangeResult {
    return { ...result, fields: [] };
}
