import { z } from "zod";
import { loadReportSchema, wireFailureSchema } from "./common.js";

/** Entry to agent: forward this call to the agent's plain service. @public */
export const callMessageSchema = z.object({
    type: z.literal("call"),
    request: z.string(),
    service: z.string(),
    organisation: z.string(),
    priority: z.number().int(),
    /** Milliseconds left until the caller's deadline, counted from the arrival of this message. */
    timeLeft: z.number(),
    method: z.string(),
    /** The path and query, relative to the service's root. */
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    body: z.instanceof(Uint8Array),
    /** The claim under which a call that is not idempotent runs; see docs/design/at-most-once.md. */
    claim: z.string().optional(),
    /** Bytes of the answer's body that may be sent before a `replyCredit`. Without it there is no limit. */
    credit: z.number().int().positive().optional(),
    traceparent: z.string().optional(),
});

/** @public */
export type CallMessage = z.infer<typeof callMessageSchema>;

/** Headers by name. A name that occurs several times, such as `set-cookie`, has a list of its values. @public */
export const replyHeadersSchema = z.record(z.string(), z.union([z.string(), z.array(z.string())]));

/** @public */
export type ReplyHeaders = z.infer<typeof replyHeadersSchema>;

/** Agent to entry: the head of the service's answer. @public */
export const replyMessageSchema = z.object({
    type: z.literal("reply"),
    request: z.string(),
    status: z.number().int(),
    headers: replyHeadersSchema,
    /** True when the agent honours the call's `credit`; only then does it support `replyCredit`. */
    credited: z.boolean().optional(),
});

/** Agent to entry: a chunk of the answer's body; the last one ends the answer. @public */
export const replyBodyMessageSchema = z.object({
    type: z.literal("replyBody"),
    request: z.string(),
    data: z.instanceof(Uint8Array),
    last: z.boolean(),
    load: loadReportSchema.optional(),
});

/** Agent to entry: the call ended without a complete answer. @public */
export const callFailedMessageSchema = z.object({
    type: z.literal("callFailed"),
    request: z.string(),
    failure: wireFailureSchema,
    load: loadReportSchema.optional(),
});

/** Entry to agent: the body of the answer may be sent up to this byte (excluded), counted from its beginning. */
export const replyCreditMessageSchema = z.object({
    type: z.literal("replyCredit"),
    request: z.string(),
    upTo: z.number().int().nonnegative(),
});

/** Entry to agent: the caller has stopped waiting. A call that is not idempotent still runs to completion. @public */
export const callCancelMessageSchema = z.object({ type: z.literal("callCancel"), request: z.string() });
