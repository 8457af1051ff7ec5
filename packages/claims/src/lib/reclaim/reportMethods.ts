import { type RpcMethod } from "@waxwingspar/transport";
import { failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type ReportedClaim, reportMethodName, type ReportRequest, reportRequestSchema } from "./ClaimReport.js";

/**
 * The JSON-RPC method by which an entry asks this process which claims of earlier eras of the store it knows.
 *
 * @param report - Lists them. At a runner it also bars the claims of the request's range that have not begun.
 * @public
 */
export function reportMethods(report: (request: ReportRequest) => readonly ReportedClaim[]): Record<string, RpcMethod> {
    const method: RpcMethod = (params, link) => {
        if (link.peer.role !== "entry") {
            return Promise.resolve(Result.err(failure(requestCodes.forbidden, "only entries ask for claims")));
        }
        const parsed = reportRequestSchema.safeParse(params);
        return Promise.resolve(
            parsed.success
                ? Result.ok({ claims: report(parsed.data) })
                : Result.err(failure(requestCodes.malformed, "the request for claims does not fit its schema")),
        );
    };
    return { [reportMethodName]: method };
}
