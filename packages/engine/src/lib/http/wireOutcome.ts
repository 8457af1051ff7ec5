import { type Failure, failure, findResultCode, type Outcome, transportCodes } from "@waxwingspar/utils";
import { unpack } from "msgpackr";
import { Result } from "true-myth";
import { z } from "zod";

const wireOutcomeSchema = z.union([
    z.object({
        failure: z.object({ code: z.number().int(), message: z.string(), retryAfter: z.number().optional() }),
    }),
    z.object({ value: z.unknown() }),
]);

/**
 * An outcome as encoded between an engine server and `HttpEngine`.
 *
 * @internal
 */
export type WireOutcome = z.infer<typeof wireOutcomeSchema>;

/** @internal */
export function toWireOutcome(outcome: Outcome<unknown>): WireOutcome {
    if (outcome.isOk) {
        return { value: outcome.value };
    }
    const { code, message, retryAfter } = outcome.error;
    return { failure: { code: code.number, message, retryAfter } };
}

/**
 * Decodes an outcome received from an engine. A value that does not match the schema is a protocol violation, which
 * leaves unknown whether the call was run.
 *
 * @internal
 */
export function fromWireOutcome<T>(wire: unknown, schema: z.ZodType<T>): Outcome<T> {
    const parsed = wireOutcomeSchema.safeParse(wire);
    if (!parsed.success) {
        return protocolViolation("the engine's response is not a valid outcome");
    }
    if ("failure" in parsed.data) {
        return Result.err(toFailure(parsed.data.failure));
    }
    const value = schema.safeParse(parsed.data.value);
    return value.success
        ? Result.ok(value.data)
        : protocolViolation("the engine's response does not match the schema of the method");
}

/** @internal */
export function protocolViolation(message: string): Outcome<never> {
    return Result.err(failure(transportCodes.protocolViolation, message));
}

/** Decodes a MessagePack body; returns undefined if it is malformed. @internal */
export function unpackBody(body: Uint8Array): unknown {
    try {
        return unpack(body);
    }
    catch {
        return undefined;
    }
}

function toFailure({ code, message, retryAfter }: { code: number; message: string; retryAfter?: number; }): Failure {
    const known = findResultCode(code);
    return known === undefined
        ? failure(transportCodes.protocolViolation, `unknown result code ${code}: ${message}`)
        : failure(known, message, retryAfter === undefined ? {} : { retryAfter });
}
