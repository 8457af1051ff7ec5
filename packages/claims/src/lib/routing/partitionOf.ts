import xxhash from "xxhash-wasm";
import { type ClaimRequest } from "../Claims.js";

const hasher = await xxhash();

/**
 * The partition that stores the claim of a request. This hash only distributes keys; keys are compared by a longer
 * hash.
 *
 * @param partitions - The number of partitions.
 * @public
 */
export function partitionOf(
    request: Pick<ClaimRequest, "route" | "organisation" | "key">,
    partitions: number,
): number {
    const { route, organisation, key } = request;
    return hasher.h32(JSON.stringify([route, organisation, key])) % partitions;
}

/**
 * A deterministic score for rendezvous hashing.
 *
 * @internal
 */
export function rendezvousScore(partition: number, name: string): number {
    return hasher.h32(`${partition} ${name}`);
}
