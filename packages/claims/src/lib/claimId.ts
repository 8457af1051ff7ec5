import { createHash } from "node:crypto";
import { type ClaimRequest, type Runner } from "./Claims.js";

/**
 * The fields encoded in a claim's id.
 *
 * @public
 */
export interface ClaimIdentity {
    readonly route: string;
    readonly organisation: string;
    /** The hash of route, organisation and key, 128 bits in base64url. */
    readonly keyHash: string;
    /**
     * Increases each time a claim is recorded for the key. A claim that is moved, even back to an earlier runner, gets
     * a new id, so that a runner's earlier refusal never applies to the new claim.
     */
    readonly generation: number;
    /** Generations are ordered within a series: a claim recorded later has a higher generation. */
    readonly series?: string;
    /** The one runner that may run the request under this id. */
    readonly runner: Runner;
}

const idVersion = "c1";
const fieldCount = 8;
const hashBytes = 16;
const generationPattern = /^(0|[1-9]\d{0,15})$/;
const keyHashPattern = /^[\w-]{22}$/;

/**
 * Hashes strings to 128 bits in base64url (22 characters). Each field is length-prefixed, so that fields cannot run
 * together.
 *
 * @public
 */
export function shortHash(...fields: readonly string[]): string {
    const hash = createHash("sha256");
    for (const field of fields) {
        hash.update(`${Buffer.byteLength(field)}:${field}`);
    }
    return hash.digest().subarray(0, hashBytes).toString("base64url");
}

/**
 * The digest of a claim that only its runner reported. Any request with its key counts as a duplicate.
 *
 * @internal
 */
export const unknownDigest = "";

/**
 * The hash under which a request's claim is stored.
 *
 * @public
 */
export function keyHashOf(request: Pick<ClaimRequest, "route" | "organisation" | "key">): string {
    return shortHash(request.route, request.organisation, request.key);
}

/**
 * Encodes a claim's identity as a string of printable ASCII without spaces.
 *
 * @example
 * ```ts
 * encodeClaim({ route: "records", organisation: "ports", keyHash, generation: 0, runner });
 * // "c1/records/ports/<keyHash>/<series>/<generation>/<target>/<incarnation>"
 * ```
 * @public
 */
export function encodeClaim(identity: ClaimIdentity): string {
    const { route, organisation, keyHash, generation, series = "", runner } = identity;
    const place = [series, String(generation)];
    const fields = [idVersion, route, organisation, keyHash, ...place, runner.target, runner.incarnation];
    return fields.map(encodeURIComponent).join("/");
}

/**
 * Decodes a claim's id.
 *
 * @returns The identity, or undefined if the text is not a valid claim id; such a request must be refused.
 * @public
 */
export function decodeClaim(id: string): ClaimIdentity | undefined {
    const fields = decodeFields(id);
    if (fields === undefined || fields.length !== fieldCount || fields[0] !== idVersion) {
        return undefined;
    }
    const [, route = "", organisation = "", keyHash = "", series = "", generation = "", target = "", incarnation = ""] =
        fields;
    const isGeneration = generationPattern.test(generation) && Number.isSafeInteger(Number(generation));
    if (!keyHashPattern.test(keyHash) || !isGeneration) {
        return undefined;
    }
    const runner = { target, incarnation };
    return { route, organisation, keyHash, series, generation: Number(generation), runner };
}

function decodeFields(id: string): string[] | undefined {
    try {
        return id.split("/").map(decodeURIComponent);
    }
    catch {
        return undefined;
    }
}
