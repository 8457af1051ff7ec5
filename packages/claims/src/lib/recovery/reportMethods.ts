import { type RpcMethod } from "@waxwingspar/transport";
import { failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type ReportedClaim, reportMethodName, type ReportRequest, reportRequestSchema } from "./ClaimReport.js";

/**
 * The JSON-RPC method with which an entry requests the claims of earlier eras of the store that this process knows.
 *
 * @param report - Lists the claims. At a runner it also rejects the claims of the request's range that have not
 * started.
 * @public
 */
export function reportMethods(report: (request: ReportRequest) => readonly ReportedClaim[]): Record<string, RpcMethod> {
    const method: RpcMethod = (params, link) => {
        if (link.peer.role !== "entry") {
            return Promise.resolve(
                Result.err(failure(requestCodes.forbidden, "only entries may request claim reports")),
            );
        }
        const parsed = reportRequestSchema.safeParse(params);
        return Promise.resolve(
            parsed.success
                ? Result.ok({ claims: report(parsed.data) })
                : Result.err(failure(requestCodes.malformed, "the claim report request does not fit its schema")),
        );
    };
    return { [reportMethodName]: method };
}
