import { type Sampling } from "@waxwingspar/transport";
import { type UnboundClaimRequest } from "../links/ClaimBinding.js";
import { prefixHashes } from "./prefixHashes.js";

/**
 * A model request that has passed every check of the entry.
 *
 * @internal
 */
export interface ModelRequest {
    readonly id: string;
    readonly organisation: string;
    readonly model: string;
    /** The version of the model. It does not change once a token has been delivered. */
    readonly version: string;
    readonly adapter: string | undefined;
    /** The number of layers of the model. */
    readonly layers: number;
    /** Bytes of the activations for one position. */
    readonly activationBytes: number;
    /** The bound on the first token, in milliseconds from arrival. */
    readonly firstTokenBound: number;
    readonly priority: number;
    readonly prompt: string;
    /** Hashes of the prompt's blocks, which differ between versions. */
    readonly prefix: readonly string[];
    readonly sampling: Sampling;
    /** The clock's time at which the request arrived. */
    readonly arrived: number;
    /** Deadline for the complete answer, in the clock's time. */
    readonly deadline: number;
    /** Set for a request that is not idempotent. */
    readonly claim: UnboundClaimRequest | undefined;
}

/** Returns the request for a certain version of its model. @internal */
export function forVersion(request: Omit<ModelRequest, "version" | "prefix">, version: string): ModelRequest {
    const { model, adapter, prompt } = request;
    return { ...request, version, prefix: prefixHashes(`${model}\n${version}\n${adapter ?? ""}`, prompt) };
}
