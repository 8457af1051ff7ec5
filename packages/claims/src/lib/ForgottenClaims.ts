import { decodeClaim } from "./claimId.js";

/**
 * What an agent keeps of the claims that it has forgotten: for each series the highest generation among them. A claim
 * with no mark at the agent may run only if it was recorded after every one that was forgotten. So the agent may forget
 * at any time without running a request twice, though the store may keep a claim longer than its retention.
 *
 * @example
 * ```ts
 * forgotten.add(oldClaim); // when its mark is dropped
 * if (!known && forgotten.mayInclude(claim)) {
 *     return outcomeUnknown;
 * }
 * ```
 * @public
 */
export class ForgottenClaims {
    private readonly highest: Map<string, number>;

    /** @param entries - What {@link entries} of another gave. */
    constructor(entries: Iterable<readonly [series: string, generation: number]> = []) {
        this.highest = new Map(entries);
    }

    /** The highest forgotten generation of each series. */
    entries(): [series: string, generation: number][] {
        return [...this.highest];
    }

    /** Notes that a claim's mark is dropped. */
    add(claim: string): void {
        const identity = decodeClaim(claim);
        if (identity !== undefined) {
            const { series = "", generation } = identity;
            this.highest.set(series, Math.max(generation, this.highest.get(series) ?? -1));
        }
    }

    /** Whether a claim without a mark may be one that was forgotten; then its outcome is unknown. */
    mayInclude(claim: string): boolean {
        const identity = decodeClaim(claim);
        return identity === undefined || identity.generation <= (this.highest.get(identity.series ?? "") ?? -1);
    }
}
