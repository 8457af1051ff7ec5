import { type OrganisationSpec } from "@waxwingspar/config";
import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Exchange } from "../http/Exchange.js";

const lowestPriority = 0;
const highestPriority = 9;

const headersSchema = z.object({
    "x-priority": z.coerce.number().int().min(lowestPriority).max(highestPriority).optional(),
    "x-request-timeout": z.coerce.number().positive().optional(),
    "x-non-idempotent": z.enum(["true", "false"]).optional(),
    "idempotency-key": z.string().regex(/^[\x20-\x7e]{1,255}$/).optional(),
});

/**
 * The request options that a caller sets in headers, for model requests and plain calls alike.
 *
 * @internal
 */
export interface RequestHeaders {
    /** Priority of the request; at most that of the organisation. */
    readonly priority: number;
    /** Deadline for the answer, in the clock's time. */
    readonly deadline: number;
    /** True when the caller marks the request as not idempotent. */
    readonly nonIdempotent: boolean;
    readonly key: string | undefined;
}

/**
 * Reads the headers that accompany any request.
 *
 * @param timeout - Milliseconds for the request: the default, and the maximum that a caller may set.
 * @internal
 */
export function readRequestHeaders(
    exchange: Exchange,
    organisation: OrganisationSpec,
    timeout: number,
): Outcome<RequestHeaders> {
    const parsed = headersSchema.safeParse(exchange.request.headers);
    if (!parsed.success) {
        return Result.err(malformed(parsed.error));
    }
    const headers = parsed.data;
    return Result.ok({
        priority: Math.min(organisation.priority, headers["x-priority"] ?? organisation.priority),
        deadline: exchange.arrived + Math.min(timeout, headers["x-request-timeout"] ?? timeout),
        nonIdempotent: headers["x-non-idempotent"] === "true",
        key: headers["idempotency-key"],
    });
}

/** Turns the first problem that a schema found into a failure that names the field. @internal */
export function malformed(error: z.ZodError): Failure {
    const issue = error.issues[0];
    const path = issue?.path.join(".") ?? "";
    return failure(requestCodes.malformed, `${path}: ${issue?.message ?? "invalid value"}`, { path });
}
