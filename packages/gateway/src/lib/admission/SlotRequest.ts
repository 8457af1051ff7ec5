import { type Precedence } from "../requests/precedence.js";

/** A request that needs a slot of a head, or of a target of a plain service. */
export interface SlotRequest {
    readonly id: string;
    /** Heads on which the request may run, in order of preference. */
    readonly heads: readonly string[];
    /** Urgency; 0 is the most urgent. */
    readonly rank: number;
    readonly organisation: string;
    /** Name of the route. */
    readonly kind: string;
    /** "running" if the caller has received a part of the answer. */
    readonly precedence: Precedence;
    /** Maximum time in milliseconds for which the request may be held. */
    readonly maxHold: number;
    /** Milliseconds that the caller has left. */
    readonly timeLeft: number;
    /** Digest of the request, which identifies a caller that returns. */
    readonly digest: string;
}

/** Why a request got no slot. */
export type SlotRefusalReason =
    /** No slot becomes free within `maxHold`. */
    | "full"
    /** A more urgent request or a smaller organisation took its place. */
    | "displaced"
    /** The caller returned before the time it was told. */
    | "early";

/** A slot was granted. */
export interface SlotGrant {
    readonly kind: "granted";
    readonly head: string;
    /** Milliseconds for which the request was held. */
    readonly held: number;
}

/** No slot was granted. */
export interface SlotRefusal {
    readonly kind: "refused";
    readonly reason: SlotRefusalReason;
    /** Milliseconds after which the caller is to return. */
    readonly retryAfter: number;
    /** Milliseconds for which the request was held. */
    readonly held: number;
}

/** The answer to a {@link SlotRequest}. */
export type SlotDecision = SlotGrant | SlotRefusal;
