import { type ReportedClaim } from "./ClaimReport.js";

/**
 * Of each key the claim that must stand: the one that its runner has begun, else the one that was recorded last.
 *
 * @param reports - Of two reports of one claim the one with the digest counts.
 * @internal
 */
export function selectPrevailingClaims(reports: readonly ReportedClaim[]): readonly ReportedClaim[] {
    const prevailing = new Map<string, ReportedClaim>();
    for (const report of reports) {
        const known = prevailing.get(report.keyHash);
        prevailing.set(report.keyHash, known === undefined ? report : selectPrevailing(known, report));
    }
    return [...prevailing.values()];
}

function selectPrevailing(one: ReportedClaim, other: ReportedClaim): ReportedClaim {
    if (isSame(one, other)) {
        const state = one.state === "ran" || other.state === "ran" ? "ran" : "granted";
        return { ...one, ...other, digest: one.digest ?? other.digest, expiry: one.expiry ?? other.expiry, state };
    }
    if (one.state !== other.state) {
        return one.state === "ran" ? one : other;
    }
    return one.generation > other.generation ? one : other;
}

function isSame(one: ReportedClaim, other: ReportedClaim): boolean {
    return one.generation === other.generation
        && one.runner.target === other.runner.target
        && one.runner.incarnation === other.runner.incarnation;
}
