import { createHash } from "node:crypto";

/** Marks the causes that are parts of prompts; digests of requests do not contain it. */
const partMark = "+";
/** Number of characters of the hash of a part, so that its cause is as long as the digest of a request. */
const hashLength = 11;
/** Maximum number of parts of a prompt that are considered. */
const maxParts = 64;

/**
 * Lists what may be the cause if the target of a request crashes: the request itself, or a part that its prompt shares
 * with others. Parts are hashed, since their ids are of any length.
 *
 * @param digest - Identifies the request across its retries.
 */
export function listCrashCauses(digest: string, sharedParts: readonly string[]): readonly string[] {
    const parts = new Set(sharedParts.slice(0, maxParts));
    return [digest, ...[...parts].map(id => partCause(id))];
}

/** The cause that stands for a part, which is the same at each gateway. */
export function partCause(id: string): string {
    const hash = createHash("sha256").update(id).digest("base64url");
    return `${partMark}${hash.slice(0, hashLength)}`;
}

/** Whether a cause is a part of prompts. */
export function isPart(cause: string): boolean {
    return cause.startsWith(partMark);
}
