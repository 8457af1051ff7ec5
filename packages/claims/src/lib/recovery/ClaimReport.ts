import { type Outcome } from "@waxwingspar/utils";
import { z } from "zod";

/** A claim that a process knows and the store may have lost. @public */
export const reportedClaimSchema = z.object({
    keyHash: z.string(),
    generation: z.int().min(0),
    runner: z.object({ target: z.string(), incarnation: z.string() }),
    /**
     * `ran`: its runner has started it, so no other runner may; `granted`: it was recorded and nothing else is known.
     */
    state: z.enum(["ran", "granted"]),
    /** The hash of the request's digest, if known. Runners do not know it. */
    digest: z.string().optional(),
    /** Partition time in milliseconds from which the claim may be dropped, if known. */
    expiry: z.number().optional(),
});

/** The type of {@link reportedClaimSchema}. @public */
export type ReportedClaim = z.infer<typeof reportedClaimSchema>;

/** Which claims to report. @public */
export const reportRequestSchema = z.object({
    /** The series of their generations. */
    series: z.string().max(64),
    /** Claims with a lower generation were granted before the store was restored from a copy. */
    before: z.int().min(0),
});

/** The type of {@link reportRequestSchema}. @public */
export type ReportRequest = z.infer<typeof reportRequestSchema>;

/** The response of a process. @public */
export const claimReportSchema = z.object({ claims: z.array(reportedClaimSchema) });

/** The JSON-RPC method that entries and agents serve. @public */
export const reportMethodName = "claims.report";

/**
 * Collects the claims of earlier eras of the store from every process that may know them. Once a runner has reported,
 * it starts no other claim of the request's range. The call fails unless every process that may still know or start
 * such a claim has responded.
 *
 * @public
 */
export type CollectReports = (request: ReportRequest) => Promise<Outcome<readonly ReportedClaim[]>>;

/** The result of one attempt to recover lost claims, for logs and metrics. @public */
export interface ClaimRecovery {
    readonly series: string;
    /** The era of the store in which the recovery ran. */
    readonly era: number;
    /** The number of claims that processes reported. */
    readonly reported: number;
    /** Why new claims are still refused; undefined once the claims of the series have been recovered. */
    readonly refusal: string | undefined;
}
