import { type Outcome } from "@waxwingspar/utils";

/**
 * The position of this entry among the live entries.
 *
 * @public
 */
export interface EntryPart {
    /** The index of this entry in an order that all entries agree on, from 0 to `count` - 1. */
    readonly index: number;
    /** The number of live entries, at least 1. */
    readonly count: number;
}

/**
 * The limits of an organisation over all entries together. An absent value means no limit.
 *
 * @public
 */
export interface LimitSpec {
    readonly requestsPerSecond?: number;
    readonly maxInFlight?: number;
}

/**
 * Enforces this entry's share of the limits of organisations.
 *
 * @public
 */
export interface OrganisationLimits {
    /**
     * Admits and counts a request, or refuses it before any work.
     *
     * @param spec - The current limits; a change takes effect with the next request.
     * @returns A function to call once the request has ended, whatever its outcome (further calls have no effect), or
     * `limitReached` with the milliseconds until this entry may admit another.
     */
    admit(organisation: string, spec: LimitSpec): Outcome<() => void>;
}
