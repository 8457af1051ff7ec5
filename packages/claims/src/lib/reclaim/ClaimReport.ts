import { type Outcome } from "@waxwingspar/utils";
import { z } from "zod";

/** A claim that a process knows, though the store may have lost it. @public */
export const reportedClaimSchema = z.object({
    keyHash: z.string(),
    generation: z.int().min(0),
    runner: z.object({ target: z.string(), incarnation: z.string() }),
    /** `ran`: its runner has begun it, so that no other may; `granted`: it was recorded, and nothing else is known. */
    state: z.enum(["ran", "granted"]),
    /** The hash of the request's digest, where it is known; a runner does not know it. */
    digest: z.string().optional(),
    /** Partition time in milliseconds from which the claim may be forgotten, where it is known. */
    expiry: z.number().optional(),
});

/** The type of {@link reportedClaimSchema}. @public */
export type ReportedClaim = z.infer<typeof reportedClaimSchema>;

/** Which claims to report. @public */
export const reportRequestSchema = z.object({
    /** The series that counts their generations. */
    series: z.string().max(64),
    /** Claims with a lower generation were granted before the store came back from a copy. */
    before: z.int().min(0),
});

/** The type of {@link reportRequestSchema}. @public */
export type ReportRequest = z.infer<typeof reportRequestSchema>;

/** What a process answers. @public */
export const claimReportSchema = z.object({ claims: z.array(reportedClaimSchema) });

/** The JSON-RPC method that entries and agents answer. @public */
export const reportMethodName = "claims.report";

/**
 * Asks every process that may know claims of an earlier era for them. A runner that has reported does not begin any other claim of the
 * request's range. It fails unless each process has answered that may still hold or begin one.
 *
 * @public
 */
export type CollectReports = (request: ReportRequest) => Promise<Outcome<readonly ReportedClaim[]>>;

/** What became of one look for lost claims, for logs and metrics. @public */
export interface Reclaim {
    readonly series: string;
    /** The era of the store in which the claims were looked for. */
    readonly era: number;
    /** Claims that processes reported. */
    readonly reported: number;
    /** Why new claims are still refused; undefined when the series is settled. */
    readonly refusal: string | undefined;
}
