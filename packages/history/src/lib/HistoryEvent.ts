import { z } from "zod";

const attempt = { request: z.string(), epoch: z.number().int().nonnegative() };
const outcome = z.enum(["completed", "not run", "unknown"]);

/**
 * An event that a process records as one line of its history file. docs/HISTORY.md explains each event.
 *
 * @public
 */
export const historyEventSchema = z.discriminatedUnion("event", [
    /**
     * The first line of a file. An agent names its target, so that the checker can tell whether the history of that
     * target is complete.
     */
    z.object({ event: z.literal("process.started"), target: z.string().optional() }),
    /** The last line of a file that was closed normally. No lines after it are lost. */
    z.object({ event: z.literal("history.closed") }),
    /** An entry received a request from a caller. */
    z.object({
        event: z.literal("request.received"),
        request: z.string(),
        organisation: z.string(),
        /** The model, or the service. */
        route: z.string(),
        /** The value of the caller's `X-Request-Id` header; joins the caller's history with this one. */
        callerRequest: z.string().optional(),
        idempotent: z.boolean(),
        key: z.string().optional(),
    }),
    /** An entry started an attempt on a chain of targets. */
    z.object({
        event: z.literal("attempt.started"),
        ...attempt,
        targets: z.array(z.string()),
        resumeAt: z.number().int(),
    }),
    /** An agent admitted new work for its target. */
    z.object({ event: z.literal("work.accepted"), request: z.string(), epoch: z.number().int(), target: z.string() }),
    /** An agent refused work without running any of it. */
    z.object({
        event: z.literal("work.refused"),
        request: z.string(),
        epoch: z.number().int(),
        target: z.string(),
        code: z.number().int(),
    }),
    /** The layers `first` to `last` ran on `count` positions of the sequence, starting at `position`. */
    z.object({
        event: z.literal("layers.run"),
        ...attempt,
        target: z.string(),
        version: z.string(),
        first: z.number().int(),
        last: z.number().int(),
        position: z.number().int(),
        count: z.number().int(),
    }),
    /** The KV cache of these positions came from the prefix cache or an import instead of being computed. */
    z.object({
        event: z.literal("layers.reused"),
        ...attempt,
        target: z.string(),
        first: z.number().int(),
        last: z.number().int(),
        count: z.number().int(),
        from: z.enum(["prefix", "import"]),
        /** The model version that computed the KV cache, if known. */
        version: z.string().optional(),
    }),
    /** The head determined the length of the prompt in tokens, and the number of layers of the model. */
    z.object({ event: z.literal("prompt.read"), ...attempt, tokens: z.number().int(), layers: z.number().int() }),
    /** An entry wrote tokens of the answer to the caller, starting at answer position `position`. */
    z.object({
        event: z.literal("tokens.sent"),
        ...attempt,
        position: z.number().int(),
        ids: z.array(z.number().int()),
    }),
    /** An entry ended a request. */
    z.object({
        event: z.literal("request.ended"),
        request: z.string(),
        outcome,
        code: z.number().int().optional(),
        tokens: z.number().int().optional(),
    }),
    /** An agent forwarded a call to its service. */
    z.object({
        event: z.literal("service.run"),
        request: z.string(),
        service: z.string(),
        target: z.string(),
        key: z.string().optional(),
    }),
    /** A service of a test or demonstration executed a call. */
    z.object({
        event: z.literal("service.effect"),
        service: z.string(),
        key: z.string().optional(),
        run: z.number().int(),
    }),
    /** A caller of the load tool sent a request. */
    z.object({
        event: z.literal("caller.sent"),
        callerRequest: z.string(),
        idempotent: z.boolean(),
        key: z.string().optional(),
        prompt: z.string().optional(),
    }),
    /** A caller of the load tool saw its request end. `digest` covers the text; `expected` is the correct digest. */
    z.object({
        event: z.literal("caller.ended"),
        callerRequest: z.string(),
        outcome,
        code: z.number().int().optional(),
        digest: z.string().optional(),
        expected: z.string().optional(),
    }),
    /** A target began to leave. After `bound` milliseconds it must not accept new work. */
    z.object({ event: z.literal("target.leaving"), target: z.string(), bound: z.number() }),
    /** A process stopped; `interrupted` is the number of requests that it interrupted. */
    z.object({ event: z.literal("process.stopped"), interrupted: z.number().int() }),
    /** The resource API accepted a change. */
    z.object({ event: z.literal("config.accepted"), revision: z.number().int(), writeId: z.string() }),
    /** A process put a revision in force. */
    z.object({ event: z.literal("config.applied"), revision: z.number().int(), digest: z.string() }),
    /** The holder of a lease sent an order to a target; `fence` is its fencing token. */
    z.object({ event: z.literal("order.issued"), order: z.string(), fence: z.number().int(), target: z.string() }),
    /** The order gate of a target accepted an order. */
    z.object({ event: z.literal("order.applied"), order: z.string(), fence: z.number().int(), target: z.string() }),
    /** The store committed a transaction. */
    z.object({ event: z.literal("write.effect"), writeId: z.string() }),
]);

/**
 * One event, as {@link historyEventSchema} describes it.
 *
 * @public
 */
export type HistoryEvent = z.infer<typeof historyEventSchema>;

/**
 * Schema of one line of a history file: an event, and by which process and when it was recorded.
 *
 * @public
 */
export const historyLineSchema = z.object({
    process: z.string(),
    incarnation: z.string(),
    /** Number of the line within its incarnation, starting at 0. */
    sequence: z.number().int(),
    /** Wall-clock time in milliseconds since 1970, for the time limits on leaving and on activating a revision. */
    time: z.number(),
    body: historyEventSchema,
});

/**
 * One line of a history, as {@link historyLineSchema} describes it.
 *
 * @public
 */
export type HistoryLine = z.infer<typeof historyLineSchema>;

/**
 * Records the events of one process. A process that writes no history uses a function that does nothing.
 *
 * @public
 */
export type HistoryRecorder = (event: HistoryEvent) => void;
