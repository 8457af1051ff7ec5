import { canonicalJson } from "../revisions/digest.js";

/**
 * One field that differs between two specs.
 *
 * @public
 */
export interface FieldChange {
    /** The field, as a dotted path. */
    readonly path: string;
    /** Absent when the field is new. */
    readonly before?: unknown;
    /** Absent when the field is removed. */
    readonly after?: unknown;
}

/** Fields that answers and logs never show. */
const secretFields = new Set(["tokenHash"]);
const hidden = "(hidden)";

/**
 * Lists the fields that differ between two values. Arrays are compared as wholes.
 *
 * @internal
 */
export function diffFields(before: unknown, after: unknown, path: string): FieldChange[] {
    if (isRecord(before) && isRecord(after)) {
        const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
        return [...keys].sort().flatMap(key => diffFields(before[key], after[key], `${path}.${key}`));
    }
    if (before === after || canonicalJson([before]) === canonicalJson([after])) {
        return [];
    }
    return [{ path, before: hideSecrets(before, path), after: hideSecrets(after, path) }];
}

/**
 * Replaces secret fields, for answers and logs.
 *
 * @param path - Where the value stands; its last part is the field's name.
 * @internal
 */
export function hideSecrets(value: unknown, path = ""): unknown {
    if (secretFields.has(path.split(".").at(-1) ?? "")) {
        return value === undefined ? undefined : hidden;
    }
    if (!isRecord(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).map(([key, part]) => [key, hideSecrets(part, key)]));
}

function isRecord(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
