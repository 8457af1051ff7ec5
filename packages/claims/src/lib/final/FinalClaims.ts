import { z } from "zod";
import { ForgottenClaims } from "../ForgottenClaims.js";

const replySchema = z.object({
    status: z.int().min(100).max(599),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    /** The body in base64. */
    body: z.string(),
});

const finalClaimSchema = z.object({
    claim: z.string(),
    /** `ran`: completed; `interrupted`: partly run, or unknown; `refused`: not run at all. */
    end: z.enum(["ran", "interrupted", "refused"]),
    /** The complete response, if it was kept. */
    reply: replySchema.optional(),
});

const finalClaimsSchema = z.object({
    version: z.literal(1),
    target: z.string(),
    incarnation: z.string(),
    /**
     * Wall-clock time in milliseconds after which the object may be deleted. If it is deleted earlier, the outcomes of
     * its claims become unknown.
     */
    until: z.number(),
    /** The highest generation of each series that the runner evicted from memory. */
    forgotten: z.array(z.tuple([z.string(), z.int().min(0)])),
    claims: z.array(finalClaimSchema),
});

/** The response of a plain service, stored by a runner at shutdown. @public */
export type StoredReply = z.infer<typeof replySchema>;

/** The outcome of one claim at a runner that has shut down. @public */
export type FinalClaim = z.infer<typeof finalClaimSchema>;

/**
 * The claims of a runner that shut down gracefully, written once it could no longer run any request.
 *
 * @public
 */
export type FinalClaims = z.infer<typeof finalClaimsSchema>;

/**
 * What the claims written by a runner at shutdown prove about one claim.
 *
 * - `answered`: it ran, and this is the response.
 * - `notRun`: it did not run there and never will, so the claim may be moved.
 * - `unknown`: it ran but its response was not kept, it ran partly, or the outcome is not known.
 *
 * @public
 */
export type FinalOutcome =
    | { readonly kind: "answered"; readonly reply: StoredReply; }
    | { readonly kind: "notRun" | "unknown"; };

/** Parses the object that a runner wrote. @returns Undefined if it does not fit the schema. @internal */
export function parseFinalClaims(data: Uint8Array): FinalClaims | undefined {
    try {
        return finalClaimsSchema.safeParse(JSON.parse(Buffer.from(data).toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}

/** An index of the claims that one runner wrote at shutdown. @internal */
export class FinalClaimsIndex {
    private readonly claims: ReadonlyMap<string, FinalClaim>;
    private readonly forgotten: ForgottenClaims;

    constructor(finalClaims: FinalClaims) {
        this.claims = new Map(finalClaims.claims.map(claim => [claim.claim, claim]));
        this.forgotten = new ForgottenClaims(finalClaims.forgotten);
    }

    /** The outcome of a claim of this runner. A claim that is neither listed nor evicted never ran. */
    outcome(claim: string): FinalOutcome {
        const listed = this.claims.get(claim);
        if (listed === undefined) {
            return { kind: this.forgotten.mayInclude(claim) ? "unknown" : "notRun" };
        }
        if (listed.end === "refused") {
            return { kind: "notRun" };
        }
        return listed.end === "ran" && listed.reply !== undefined
            ? { kind: "answered", reply: listed.reply }
            : { kind: "unknown" };
    }
}
