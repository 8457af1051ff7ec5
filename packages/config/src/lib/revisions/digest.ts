import { createHash } from "node:crypto";
import { type Resource } from "../resources/Resource.js";
import { type Change } from "./LogEntry.js";

const contentBits = 128n;
const contentMask = (1n << contentBits) - 1n;
const digestCharacters = 32;

/** The digest and the content sum of the state before the first revision. @internal */
export const emptyDigest = "0".repeat(digestCharacters);

/**
 * Serialises a value as JSON with sorted keys, so that equal values give equal text.
 *
 * @internal
 */
export function canonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, part: unknown) => sortKeys(part));
}

/**
 * Computes the next digest of the chain. Two processes with equal digests at a revision have applied the same entries.
 *
 * @internal
 */
export function chainDigest(previous: string, revision: number, changes: readonly Change[], content: string): string {
    const text = canonicalJson([previous, revision, changes, content]);
    return createHash("sha256").update(text).digest("hex").slice(0, digestCharacters);
}

/**
 * Replaces resources in a content sum. The sum does not depend on the order of resources, so it can be updated
 * incrementally with each entry and also be computed from a snapshot. A snapshot with stale parts gives another sum.
 *
 * @param content - The sum before the replacement, in hexadecimal.
 * @internal
 */
export function replaceContent(content: string, removed: readonly Resource[], added: readonly Resource[]): string {
    let sum = BigInt(`0x${content}`);
    for (const resource of removed) {
        sum -= resourceHash(resource);
    }
    for (const resource of added) {
        sum += resourceHash(resource);
    }
    return (sum & contentMask).toString(16).padStart(digestCharacters, "0");
}

function resourceHash({ kind, name, resourceVersion, spec }: Resource): bigint {
    const hash = createHash("sha256").update(canonicalJson([kind, name, resourceVersion, spec])).digest("hex");
    return BigInt(`0x${hash.slice(0, digestCharacters)}`);
}

function sortKeys(value: unknown): unknown {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1));
}
