import { z } from "zod";

const attempt = { request: z.string(), epoch: z.number().int().nonnegative() };
const outcome = z.enum(["completed", "not run", "unknown"]);

/**
 * What one process did, as one line of its history file. docs/HISTORY.md explains each event.
 *
 * @public
 */
export const historyEventSchema = z.discriminatedUnion("event", [
    /** The first line of a file. An agent names its target, so that the checker knows whose history is whole. */
    z.object({ event: z.literal("process.started"), target: z.string().optional() }),
    /** The last line of a file that was closed in order: nothing behind it is lost. */
    z.object({ event: z.literal("history.closed") }),
    /** An entry took a request from a caller. */
    z.object({
        event: z.literal("request.received"),
        request: z.string(),
        organisation: z.string(),
        /** The model, or the service. */
        route: z.string(),
        /** What the caller set as `X-Request-Id`, to join its own history with this one. */
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
    /** An agent refused work as not run. */
    z.object({
        event: z.literal("work.refused"),
        request: z.string(),
        epoch: z.number().int(),
        target: z.string(),
        code: z.number().int(),
    }),
    /** The layers `first` to `last` ran on `count` positions of the sequence, from `position` on. */
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
    /** The KV cache of these positions was taken over instead of being computed: prefix cache or import. */
    z.object({
        event: z.literal("layers.reused"),
        ...attempt,
        target: z.string(),
        first: z.number().int(),
        last: z.number().int(),
        count: z.number().int(),
        from: z.enum(["prefix", "import"]),
        /** The model version that computed them, where known. */
        version: z.string().optional(),
    }),
    /** The head learned how long the prompt is, in tokens. */
    z.object({ event: z.literal("prompt.read"), ...attempt, tokens: z.number().int(), layers: z.number().int() }),
    /** An entry wrote tokens of the answer to the caller, from answer position `position` on. */
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
    /** An agent passed a call to the service beside it. */
    z.object({
        event: z.literal("service.run"),
        request: z.string(),
        service: z.string(),
        target: z.string(),
        key: z.string().optional(),
    }),
    /** A service stand-in carried out a call. */
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
    /** A caller of the load tool saw its request end. `digest` covers the text; `expected` is what it ought to be. */
    z.object({
        event: z.literal("caller.ended"),
        callerRequest: z.string(),
        outcome,
        code: z.number().int().optional(),
        digest: z.string().optional(),
        expected: z.string().optional(),
    }),
    /** A target began to leave. From `bound` milliseconds later on it may accept no new work. */
    z.object({ event: z.literal("target.leaving"), target: z.string(), bound: z.number() }),
    /** A process stopped; `interrupted` counts requests that were cut off. */
    z.object({ event: z.literal("process.stopped"), interrupted: z.number().int() }),
    /** The resource API accepted a change. */
    z.object({ event: z.literal("config.accepted"), revision: z.number().int(), writeId: z.string() }),
    /** A process put a revision in force. */
    z.object({ event: z.literal("config.applied"), revision: z.number().int(), digest: z.string() }),
    /** A holder sent an order to a target. */
    z.object({ event: z.literal("order.issued"), order: z.string(), fence: z.number().int(), target: z.string() }),
    /** A target's gate let an order through. */
    z.object({ event: z.literal("order.applied"), order: z.string(), fence: z.number().int(), target: z.string() }),
    /** The store let a transaction take effect. */
    z.object({ event: z.literal("write.effect"), writeId: z.string() }),
]);

/**
 * One event, as {@link historyEventSchema} describes it.
 *
 * @public
 */
export type HistoryEvent = z.infer<typeof historyEventSchema>;

/**
 * One line of a history file: an event, and who recorded it when.
 *
 * @public
 */
export const historyLineSchema = z.object({
    process: z.string(),
    incarnation: z.string(),
    /** Counts the lines of one incarnation from 0. */
    sequence: z.number().int(),
    /** Wall-clock time in milliseconds since 1970, for the bounds on leaving and activation. */
    time: z.number(),
    body: historyEventSchema,
});

/**
 * One line of a history: an event, and where and when it was recorded.
 *
 * @public
 */
export type HistoryLine = z.infer<typeof historyLineSchema>;

/**
 * Takes the events of one process. A process that writes no history is given a function that does nothing.
 *
 * @public
 */
export type HistoryRecorder = (event: HistoryEvent) => void;
