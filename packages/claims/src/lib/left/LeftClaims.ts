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
    /** `ran`: to its end; `interrupted`: in part, or that cannot be told; `refused`: not at all. */
    end: z.enum(["ran", "interrupted", "refused"]),
    /** The whole answer, where one is kept. */
    reply: replySchema.optional(),
});

const finalClaimsSchema = z.object({
    version: z.literal(1),
    target: z.string(),
    incarnation: z.string(),
    /** Milliseconds of the wall clock, after which the object may be deleted. Deleting early only makes claims unknown. */
    until: z.number(),
    /** The highest generation that the runner has forgotten in each series. */
    forgotten: z.array(z.tuple([z.string(), z.int().min(0)])),
    claims: z.array(finalClaimSchema),
});

/** The answer of a plain service as a runner that has left wrote it down. @public */
export type LeftReply = z.infer<typeof replySchema>;

/** What became of one claim at a runner that has left. @public */
export type LeftClaim = z.infer<typeof finalClaimSchema>;

/**
 * The claims of a runner that has left gracefully, written once it could run nothing more.
 *
 * @public
 */
export type LeftClaims = z.infer<typeof finalClaimsSchema>;

/**
 * What a runner that has left proves about a claim.
 *
 * - `answered`: it ran, and this is its answer.
 * - `notRun`: it did not run there and never will, so that the claim may be moved.
 * - `unknown`: it ran without a kept answer, or in part, or that cannot be told.
 *
 * @public
 */
export type LeftOutcome =
    | { readonly kind: "answered"; readonly reply: LeftReply; }
    | { readonly kind: "notRun" | "unknown"; };

/** Reads the object of a runner. @returns Undefined when it is not one. @internal */
export function parseFinalClaims(data: Uint8Array): LeftClaims | undefined {
    try {
        return finalClaimsSchema.safeParse(JSON.parse(Buffer.from(data).toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}

/** The claims of one runner that has left, for look-ups. @internal */
export class FinalClaimsIndex {
    private readonly claims: ReadonlyMap<string, LeftClaim>;
    private readonly forgotten: ForgottenClaims;

    constructor(left: LeftClaims) {
        this.claims = new Map(left.claims.map(claim => [claim.claim, claim]));
        this.forgotten = new ForgottenClaims(left.forgotten);
    }

    /** What became of a claim of this runner. One that is neither listed nor forgotten never ran. */
    outcome(claim: string): LeftOutcome {
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
