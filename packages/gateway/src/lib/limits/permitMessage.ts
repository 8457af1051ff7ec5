import * as z from "zod/mini";
import { limitStatementSchema } from "./LimitStatement.js";

const permitRequestSchema = z.object({
    jsonrpc: z.literal("2.0"),
    id: z.string(),
    method: z.literal("takePermit"),
    params: z.object({
        /** Address to send the reply to. */
        from: z.string(),
        /** Incarnation of the target. */
        target: z.string(),
        dataCentre: z.string(),
        precedence: z.enum(["running", "waiting"]),
        /** What the sender knows of the target's limit. */
        statement: limitStatementSchema,
    }),
});

const permitReplySchema = z.object({
    jsonrpc: z.literal("2.0"),
    id: z.string(),
    result: z.object({
        isGranted: z.boolean(),
        /** Milliseconds after which to ask again, if the permit is denied. */
        retryAfter: z.number().check(z.nonnegative()),
        /** What the replying gateway knows of the target's limit. */
        statement: z.optional(limitStatementSchema),
    }),
});

const permitMessageSchema = z.union([permitRequestSchema, permitReplySchema]);

/** A request for a permit to send to a target, as a JSON-RPC call. */
export type PermitRequest = z.infer<typeof permitRequestSchema>;
export type PermitReply = z.infer<typeof permitReplySchema>;
export type PermitMessage = z.infer<typeof permitMessageSchema>;

/** @returns Undefined if the datagram is not such a message. */
export function readPermitMessage(datagram: string): PermitMessage | undefined {
    try {
        return permitMessageSchema.safeParse(JSON.parse(datagram)).data;
    }
    catch {
        return undefined;
    }
}
