import { type Sampling } from "@waxwingspar/transport";
import { type ClaimSubject } from "../links/ClaimBinding.js";

/**
 * A model request that has passed every check of the entry.
 *
 * @internal
 */
export interface ModelRequest {
    readonly id: string;
    readonly organisation: string;
    readonly model: string;
    readonly version: string;
    readonly adapter: string | undefined;
    /** The number of layers of the model. */
    readonly layers: number;
    /** Bytes of activations of one position. */
    readonly activationBytes: number;
    /** The bound on the first token, in milliseconds from arrival. */
    readonly firstTokenBound: number;
    readonly priority: number;
    readonly prompt: string;
    /** Hashes of the prompt's blocks. */
    readonly prefix: readonly string[];
    readonly sampling: Sampling;
    /** The clock's time at which the request arrived. */
    readonly arrived: number;
    /** The clock's time by which the caller wants the whole answer. */
    readonly deadline: number;
    /** Set for a request that is not idempotent. */
    readonly claim: ClaimSubject | undefined;
}
