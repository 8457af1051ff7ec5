import { failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { decodeClaim } from "../claimId.js";
import { type Claim, type Runner } from "../Claims.js";
import { type CollectReports, type ReportedClaim, type ReportRequest } from "../recovery/ClaimReport.js";

/**
 * Simulated runners of a site. Each runs a claim at most once and rejects claims that a report request has ruled out.
 */
export class Runners {
    /** The number of runs of each key over all runners. */
    readonly runs = new Map<string, number>();
    /** While false, a process that may know claims does not respond. */
    isComplete = true;
    private readonly ran = new Set<string>();
    private readonly refused = new Set<string>();
    private readonly rejectedBelow = new Map<string, number>();
    private readonly dead = new Set<string>();

    /** Sends a request to the runner of its claim. */
    run(claim: Claim): "ran" | "repeated" | "refused" | "unknown" {
        const identity = decodeClaim(claim.id);
        if (identity === undefined || this.dead.has(nameOf(claim.runner))) {
            return "unknown";
        }
        if (this.ran.has(claim.id)) {
            return "repeated";
        }
        const isRejected = identity.generation < (this.rejectedBelow.get(identity.series ?? "") ?? 0);
        if (isRejected || this.refused.has(claim.id)) {
            this.refused.add(claim.id);
            return "refused";
        }
        this.ran.add(claim.id);
        this.runs.set(identity.keyHash, (this.runs.get(identity.keyHash) ?? 0) + 1);
        return "ran";
    }

    /** Refuses a claim that has not started, so that it may be moved. */
    refuse(claim: Claim): boolean {
        const refuses = !this.ran.has(claim.id);
        if (refuses) {
            this.refused.add(claim.id);
        }
        return refuses;
    }

    /** Stops a runner and discards its memory. */
    kill(runner: Runner): void {
        this.dead.add(nameOf(runner));
    }

    /** Collects reports from the runners and from others that may know claims. */
    collector(others: (before: number) => readonly ReportedClaim[]): CollectReports {
        return request =>
            Promise.resolve(
                this.isComplete
                    ? Result.ok([...this.report(request), ...others(request.before)])
                    : Result.err(failure(requestCodes.claimUnavailable, "a process does not respond")),
            );
    }

    private report({ series, before }: ReportRequest): ReportedClaim[] {
        this.rejectedBelow.set(series, Math.max(before, this.rejectedBelow.get(series) ?? 0));
        return [...this.ran].flatMap((id): ReportedClaim[] => {
            const identity = decodeClaim(id);
            const isAsked = identity?.series === series && identity.generation < before;
            if (identity === undefined || !isAsked || this.dead.has(nameOf(identity.runner))) {
                return [];
            }
            const { keyHash, generation, runner } = identity;
            return [{ keyHash, generation, runner, state: "ran" }];
        });
    }
}

function nameOf({ target, incarnation }: Runner): string {
    return `${target}/${incarnation}`;
}
