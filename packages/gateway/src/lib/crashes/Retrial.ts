import { type ResultCode } from "@waxwingspar/utils";

/** Why a request may not be sent. */
export interface CrashRefusal {
    readonly code: ResultCode;
    readonly reason: string;
    /** Milliseconds after which the caller may retry; undefined when a retry is pointless. */
    readonly retryAfter: number | undefined;
    /** Whether an earlier retry is known to be in vain. */
    readonly isBinding?: boolean;
}

/** The answer to a request for a run of a suspect. */
export type Retrial =
    /** The request is not suspect any more. */
    | { readonly kind: "free"; }
    /** It may run once. The turn must be ended with {@link CrashGuard.endTurn}. */
    | { readonly kind: "granted"; }
    | { readonly kind: "refused"; readonly refusal: CrashRefusal; };

/** Whether a suspect may run once more. */
export type RetrialVerdict =
    /** This process may send the request once. */
    | "granted"
    /** The request has run without a crash at another gateway since. */
    | "excused"
    /** All runs of the cause are used up. */
    | "condemned"
    /** The last run was granted recently; its outcome may not be known yet. */
    | "tooSoon"
    /** The store is unavailable. */
    | "unavailable";
