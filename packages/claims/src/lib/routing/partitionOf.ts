import xxhash from "xxhash-wasm";
import { type ClaimRequest } from "../Claims.js";

const hasher = await xxhash();

/**
 * The partition that keeps the claim of a request. The hash only spreads keys; whether two keys are equal is told by a
 * longer one.
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
 * A repeatable score for rendezvous hashing.
 *
 * @internal
 */
export function rendezvousScore(partition: number, name: string): number {
    return hasher.h32(`${partition} ${name}`);
}
