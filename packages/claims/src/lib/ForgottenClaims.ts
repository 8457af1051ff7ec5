import { decodeClaim } from "./claimId.js";

/**
 * Tracks the claims that an agent has evicted from memory: the highest evicted generation of each series. The agent
 * runs a claim that it has no entry for only if the claim was recorded after every evicted one. The agent can therefore
 * evict entries at any time without running a request twice, even if the store keeps a claim longer than its retention.
 *
 * @example
 * ```ts
 * forgotten.add(oldClaim); // when its entry is evicted
 * if (!known && forgotten.mayInclude(claim)) {
 *     return outcomeUnknown;
 * }
 * ```
 * @public
 */
export class ForgottenClaims {
    private readonly highest: Map<string, number>;

    /** @param entries - The {@link ForgottenClaims.entries} of another instance. */
    constructor(entries: Iterable<readonly [series: string, generation: number]> = []) {
        this.highest = new Map(entries);
    }

    /** The highest evicted generation of each series. */
    entries(): [series: string, generation: number][] {
        return [...this.highest];
    }

    /** Records that a claim was evicted. */
    add(claim: string): void {
        const identity = decodeClaim(claim);
        if (identity !== undefined) {
            const { series = "", generation } = identity;
            this.highest.set(series, Math.max(generation, this.highest.get(series) ?? -1));
        }
    }

    /** Whether a claim without an entry may have been evicted, in which case its outcome is unknown. */
    mayInclude(claim: string): boolean {
        const identity = decodeClaim(claim);
        return identity === undefined || identity.generation <= (this.highest.get(identity.series ?? "") ?? -1);
    }
}
