import * as z from "zod/mini";
import { groupSumsSchema } from "./GroupSums.js";
import { peerStateSchema } from "./PeerState.js";

const tableWordSchema = z.object({
    version: z.number(),
    seen: z.number(),
    age: z.number(),
    era: z.optional(z.number()),
});

const heartbeatSchema = z.object({
    process: z.string(),
    /** This start of the process. */
    incarnation: z.string(),
    address: z.string(),
    dataCentre: z.string(),
    /** Grows with each heartbeat of this start. */
    sequence: z.number(),
    /** The newest heartbeat of the receiver that the sender had heard: so the receiver knows that this was said after it. */
    echo: z.optional(z.object({
        incarnation: z.string(),
        sequence: z.number(),
        /** Whether `whole` holds what the receiver told in it. */
        isCounted: z.boolean(),
    })),
    /** What the sender knows of tables of the store, by their names: see {@link TableWord}. */
    words: z.record(z.string(), tableWordSchema),
    /** What the sender tells of itself; for gateways of its data centre that add it up. */
    state: z.optional(peerStateSchema),
    /** The sum over the sender's data centre, itself included; for relays of other data centres. */
    near: z.optional(groupSumsSchema),
    /** The sum over all gateways; for those that report to the sender. */
    whole: z.optional(groupSumsSchema),
    /** Addresses of some gateways that live, by data centre. */
    members: z.record(z.string(), z.array(z.string())),
});

/** What gateways send each other. @public */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

const messageSchema = z.object({
    jsonrpc: z.literal("2.0"),
    method: z.literal("heartbeat"),
    params: heartbeatSchema,
});

/** A heartbeat as a JSON-RPC notification. */
export function writeHeartbeat(heartbeat: Heartbeat): string {
    return JSON.stringify({ jsonrpc: "2.0", method: "heartbeat", params: heartbeat });
}

/** @returns Undefined when the datagram is no heartbeat. */
export function readHeartbeat(data: string): Heartbeat | undefined {
    try {
        return messageSchema.safeParse(JSON.parse(data)).data?.params;
    }
    catch {
        return undefined;
    }
}
