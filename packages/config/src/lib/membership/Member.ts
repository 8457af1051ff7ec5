import { type LiveHost } from "@waxwingspar/stores";

/**
 * Whether a process takes part: `live`, `leaving` by its own word or the list's, or `unreachable`, which the list no
 * longer shows although it may still run, as when a region is cut off.
 *
 * @public
 */
export type MemberState = "live" | "leaving" | "unreachable";

/**
 * A process of the system as this process knows it.
 *
 * @public
 */
export interface Member extends Omit<LiveHost, "state"> {
    readonly state: MemberState;
    /** The start of the process that was last heard of, once it has been heard of at all. */
    readonly incarnation?: string;
    /** True for some seconds after this process failed to reach it. */
    readonly suspect: boolean;
}

/**
 * What a process says about itself.
 *
 * @public
 */
export type Self = Omit<LiveHost, "state"> & { readonly incarnation: string; };
