import { type Outcome } from "@waxwingspar/utils";

/**
 * Which of the live entries this one is, of how many.
 *
 * @public
 */
export interface EntryPart {
    /** The place of this entry in the order that all entries share, from 0 to below `count`. */
    readonly index: number;
    /** Live entries, at least 1. */
    readonly count: number;
}

/**
 * The limits of an organisation over all entries together; what is absent is not limited.
 *
 * @public
 */
export interface LimitSpec {
    readonly requestsPerSecond?: number;
    readonly maxInFlight?: number;
}

/**
 * Holds this entry's part of the limits of organisations.
 *
 * @public
 */
export interface OrganisationLimits {
    /**
     * Counts a request in, or refuses it before any work.
     *
     * @param spec - The limits as they are now; a change takes effect with the next request.
     * @returns What to call once the request has ended in any way (further calls do nothing), or `limitReached` with the
     * milliseconds until this entry may take another.
     */
    admit(organisation: string, spec: LimitSpec): Outcome<() => void>;
}
