import * as z from "zod/mini";

/** What a gateway holds of one head. */
const headCountSchema = z.object({
    /** Incarnation of the target. */
    target: z.string(),
    /** Requests that the head has room for, as the sender knows it. */
    room: z.number().check(z.nonnegative()),
    /** Requests of the sender in flight on the head. */
    inFlight: z.number().check(z.nonnegative()),
    /** Number of requests up to which the sender sends without asking. */
    quota: z.number().check(z.nonnegative()),
});

/**
 * The absolute counts of a gateway. A grant is still to be added to them if it answers a call that was pending when they
 * were sent, or a later one.
 */
const slotCountsSchema = z.object({
    /** Address of the sender. */
    from: z.string(),
    /** Identifies the start of the sender's process. */
    incarnation: z.string(),
    /** Data centre of the sender. */
    home: z.string(),
    /** Increases with each message of this incarnation. */
    sequence: z.number(),
    /** The counts of the heads of this issuer; those of which the sender holds no slot may be missing. */
    heads: z.array(headCountSchema),
    /** The number of the next call. */
    next: z.number(),
    /** The numbers of the calls to this issuer that are not decided yet as far as the sender knows. */
    pending: z.array(z.number()),
});

const slotCallSchema = z.object({
    jsonrpc: z.literal("2.0"),
    id: z.string(),
    method: z.literal("takeSlot"),
    params: z.extend(slotCountsSchema, {
        /** Number of this call, for {@link SlotCounts.pending}. */
        number: z.number(),
        service: z.string(),
        dataCentre: z.string(),
        /** Heads on which the request may run, in order of preference. */
        wanted: z.array(z.string()),
        rank: z.number(),
        organisation: z.string(),
        kind: z.string(),
        precedence: z.enum(["running", "waiting"]),
        maxHold: z.number().check(z.nonnegative()),
        timeLeft: z.number(),
        digest: z.string(),
    }),
});

const slotReportSchema = z.object({
    jsonrpc: z.literal("2.0"),
    method: z.literal("reportSlots"),
    params: slotCountsSchema,
});

const headLoadSchema = z.object({
    /** Incarnation of the target. */
    target: z.string(),
    /** Requests of all gateways on the head, as the issuer counts them. */
    load: z.number(),
    room: z.number(),
});

const slotReplySchema = z.object({
    jsonrpc: z.literal("2.0"),
    id: z.string(),
    result: z.object({
        decision: z.union([
            z.object({ kind: z.literal("granted"), head: z.string(), held: z.number() }),
            z.object({
                kind: z.literal("refused"),
                reason: z.enum(["full", "displaced", "early"]),
                retryAfter: z.number(),
                held: z.number(),
            }),
            /** The gateway does not issue these slots, or has taken over too recently to know how many are in use. */
            z.object({ kind: z.literal("undecided") }),
        ]),
        heads: z.array(headLoadSchema),
    }),
});

const slotMessageSchema = z.union([slotCallSchema, slotReportSchema, slotReplySchema]);

/** The counts that every message of a gateway to an issuer carries. */
export type SlotCounts = z.infer<typeof slotCountsSchema>;
export type HeadCount = z.infer<typeof headCountSchema>;
export type HeadLoad = z.infer<typeof headLoadSchema>;
/** A request for a slot, as a JSON-RPC call. */
export type SlotCall = z.infer<typeof slotCallSchema>;
/** A JSON-RPC notification of counts. */
export type SlotReport = z.infer<typeof slotReportSchema>;
export type SlotReply = z.infer<typeof slotReplySchema>;
/** An issuer's answer to a call. */
export type IssuedDecision = SlotReply["result"]["decision"];
export type SlotMessage = z.infer<typeof slotMessageSchema>;

/** @returns Undefined if the datagram is not such a message. */
export function readSlotMessage(datagram: string): SlotMessage | undefined {
    try {
        return slotMessageSchema.safeParse(JSON.parse(datagram)).data;
    }
    catch {
        return undefined;
    }
}
