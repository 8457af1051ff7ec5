import * as z from "zod/mini";
import { groupSumsSchema } from "./GroupSums.js";
import { peerStateSchema } from "./PeerState.js";

const tableStatusSchema = z.object({
    version: z.number(),
    seen: z.number(),
    age: z.number(),
    era: z.optional(z.number()),
    pending: z.optional(z.boolean()),
});

/** What a gateway knows of the configuration. Versions of it are given by operators, so a restore leaves them valid. */
const knownConfigurationSchema = z.object({
    /** The newest version that is known to have been in force in a gateway. */
    version: z.number(),
    /** Milliseconds for which it has been in force there. */
    age: z.number(),
    /** The newest era of the store in which a gateway is known to have confirmed its configuration. */
    era: z.optional(z.number()),
});

/** @see knownConfigurationSchema */
export type KnownConfiguration = z.infer<typeof knownConfigurationSchema>;

const heartbeatSchema = z.object({
    process: z.string(),
    /** Identifies this incarnation of the process. */
    incarnation: z.string(),
    address: z.string(),
    dataCentre: z.string(),
    /** Increases with each heartbeat of this incarnation. */
    sequence: z.number(),
    /**
     * The newest heartbeat that the sender received from the receiver: it proves that this heartbeat was sent later.
     */
    echo: z.optional(z.object({
        incarnation: z.string(),
        sequence: z.number(),
        /** Whether `whole` includes the state that the receiver reported in that heartbeat. */
        isCounted: z.boolean(),
    })),
    /** The state of the store's tables as the sender knows it, by name: see {@link TableStatus}. */
    words: z.record(z.string(), tableStatusSchema),
    /** What the sender knows of the configuration, from the store or from others. */
    configuration: z.optional(knownConfigurationSchema),
    /** The state of the sender; for relays of its data centre. */
    state: z.optional(peerStateSchema),
    /** The sum over the sender's data centre, including the sender; for relays of other data centres. */
    near: z.optional(groupSumsSchema),
    /** The sum over all gateways; for gateways that report to the sender. */
    whole: z.optional(groupSumsSchema),
    /** The number of gateways of the sender's data centre in contact with it, itself included; sent with `whole`. */
    local: z.optional(z.number()),
    /** Addresses of some live gateways, by data centre. */
    members: z.record(z.string(), z.array(z.string())),
});

/** The message that gateways send to each other. @public */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

const messageSchema = z.object({
    jsonrpc: z.literal("2.0"),
    method: z.literal("heartbeat"),
    params: heartbeatSchema,
});

/** Serialises a heartbeat as a JSON-RPC notification. */
export function writeHeartbeat(heartbeat: Heartbeat): string {
    return JSON.stringify({ jsonrpc: "2.0", method: "heartbeat", params: heartbeat });
}

/** @returns Undefined if the datagram is not a valid heartbeat. */
export function readHeartbeat(data: string): Heartbeat | undefined {
    try {
        return messageSchema.safeParse(JSON.parse(data)).data?.params;
    }
    catch {
        return undefined;
    }
}
