import { type ReportedClaim } from "./ClaimReport.js";

/**
 * Selects the prevailing claim of each key: the one that its runner has started, otherwise the one recorded last.
 *
 * @param reports - Reports of the same claim are merged; a digest or expiry known to only one of them is kept.
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
