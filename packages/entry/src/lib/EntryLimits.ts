import { z } from "zod";

const count = z.number().int().positive();
const milliseconds = z.number().positive();

/**
 * The limits that an entry enforces on callers and targets. Times are in milliseconds, sizes in bytes.
 *
 * @public
 */
export const entryLimitsSchema = z.strictObject({
    maxHeaderBytes: count.default(16_384).describe("All headers of one request together."),
    maxBodyBytes: count.default(1_048_576).describe("The body of a model request. Services set their own limit."),
    maxBodyMemory: count.default(67_108_864).describe(
        "What callers have sent, all requests in progress together. When this and maxReplyMemory are used up, the connection that holds the most and moves the least is closed.",
    ),
    headerTimeout: milliseconds.default(10_000).describe("For a request's headers to arrive."),
    bodyTimeout: milliseconds.default(30_000).describe("For a whole request to arrive."),
    keepAliveTimeout: milliseconds.default(75_000).describe(
        "For which a connection may stay open between two requests.",
    ),
    maxConnections: count.default(20_000).describe(
        "Connections of callers; three eighths of the process's descriptors at most.",
    ),
    maxOpenRequests: count.default(8_000).describe("Requests in progress on all connections."),
    maxOpenPerConnection: count.default(8).describe(
        "Requests in progress on one connection, which a caller reaches only by HTTP pipelining.",
    ),
    writeStallTimeout: milliseconds.default(30_000).describe(
        "For which a caller may take nothing of what waits for it.",
    ),
    maxReplyBuffer: count.default(16_777_216).describe("Bytes of an answer that may wait for one slow caller."),
    maxReplyMemory: count.default(67_108_864).describe("Bytes of answers that may wait for all slow callers together."),
    replyWindow: count.default(262_144).describe(
        "Bytes of a plain service's answer that the agent may send before the caller has taken those before.",
    ),
    creditWindow: count.default(64).describe("Tokens that the head may send before the caller has taken those before."),
    requestTimeout: milliseconds.default(600_000).describe(
        "The time for a model request when the caller sets none, and the most that it may set.",
    ),
    firstTokenTimeout: milliseconds.default(10_000).describe(
        "From sending an attempt to its first token; then another attempt takes its place, where one may.",
    ),
    tokenTimeout: milliseconds.default(2_000).describe(
        "Between two messages of an attempt; then another one takes its place, where one may.",
    ),
    maxAttempts: count.default(8).describe("Attempts of one request."),
    stopLead: z.number().nonnegative().default(2_000).describe(
        "Between answering \"not ready\" and closing the listening socket, so that the balancer notices.",
    ),
    stopLimit: milliseconds.default(900_000).describe(
        "For requests in progress to end in a graceful stop; shortly before, those that are left are answered as refused or unknown.",
    ),
});

/** @public */
export type EntryLimits = z.infer<typeof entryLimitsSchema>;
