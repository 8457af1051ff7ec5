import { type LiveHost } from "@waxwingspar/stores";

/**
 * The state of a process: `live`; `leaving`, as announced by the process or the live list; or `unreachable`, if the
 * list no longer contains the process although it may still be running, for example in a region that is cut off.
 *
 * @public
 */
export type MemberState = "live" | "leaving" | "unreachable";

/**
 * A process of the system, as known to this process.
 *
 * @public
 */
export interface Member extends Omit<LiveHost, "state"> {
    readonly state: MemberState;
    /** The last known incarnation, which identifies a start of the process; absent until the process was contacted. */
    readonly incarnation?: string;
    /** True for some seconds after this process failed to reach the member. */
    readonly suspect: boolean;
}

/**
 * The identity of a process, as it announces it to others.
 *
 * @public
 */
export type Self = Omit<LiveHost, "state"> & { readonly incarnation: string; };
