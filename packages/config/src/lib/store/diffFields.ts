import { canonicalJson } from "../revisions/digest.js";

/**
 * A field that differs between two specs.
 *
 * @public
 */
export interface FieldChange {
    /** The dotted path of the field. */
    readonly path: string;
    /** The old value; absent if the field is new. */
    readonly before?: unknown;
    /** The new value; absent if the field is removed. */
    readonly after?: unknown;
}

/** Fields whose values must not appear in responses or logs. */
const secretFields = new Set(["tokenHash"]);
const hidden = "(hidden)";

/**
 * Lists the fields that differ between two values. An array is compared as a single value.
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
 * Replaces the values of secret fields, for responses and logs.
 *
 * @param path - The dotted path of the value; its last part is the name of the field.
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
