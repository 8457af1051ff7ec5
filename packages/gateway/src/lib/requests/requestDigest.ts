import { createHash } from "node:crypto";

/** Identity of a request across its caller's retries. Headers are excluded because they differ between retries. */
export interface RequestIdentity {
    readonly method: string;
    readonly hostname: string;
    /** Includes the query. */
    readonly path: string;
    /** Undefined on routes without credentials. */
    readonly organisation: string | undefined;
    readonly body: Buffer | undefined;
}

/** Number of characters of a digest, six bits each: 2^72 values, and short enough for heartbeats. */
const digestLength = 12;

/**
 * Identifies a request by its contents. The digest is the same for each retry of the caller and at each gateway, and
 * does not reveal the body.
 */
export function requestDigest({ method, hostname, path, organisation = "", body }: RequestIdentity): string {
    const hash = createHash("sha256");
    hash.update(JSON.stringify([method, hostname, path, organisation]));
    if (body !== undefined) {
        hash.update(body);
    }
    return hash.digest("base64url").slice(0, digestLength);
}
