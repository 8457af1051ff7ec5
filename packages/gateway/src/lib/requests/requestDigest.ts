import { createHash } from "node:crypto";

/** What makes a request the same one when its caller sends it again. Headers do not count: each attempt has other ones. */
export interface RequestIdentity {
    readonly method: string;
    readonly hostname: string;
    /** With its query. */
    readonly path: string;
    /** Undefined on routes that ask for no credential. */
    readonly organisation: string | undefined;
    readonly body: Buffer | undefined;
}

/** Characters of a digest, six bits each: 2^72 values, and short enough for heartbeats. */
const digestLength = 12;

/**
 * Names a request by what it asks for. The name is the same for each attempt of its caller and at each gateway, and tells
 * nothing of the body.
 */
export function requestDigest({ method, hostname, path, organisation = "", body }: RequestIdentity): string {
    const hash = createHash("sha256");
    hash.update(JSON.stringify([method, hostname, path, organisation]));
    if (body !== undefined) {
        hash.update(body);
    }
    return hash.digest("base64url").slice(0, digestLength);
}
