import { z } from "zod";
import { helloSchema, loadMessageSchema } from "./common.js";
import {
    cancelMessageSchema,
    creditMessageSchema,
    doneMessageSchema,
    failedMessageSchema,
    frameMessageSchema,
    joinedMessageSchema,
    joinMessageSchema,
    openMessageSchema,
    sampledMessageSchema,
    stageFailedMessageSchema,
    tokensMessageSchema,
} from "./pipelineMessages.js";
import {
    callCancelMessageSchema,
    callFailedMessageSchema,
    callMessageSchema,
    replyBodyMessageSchema,
    replyCreditMessageSchema,
    replyMessageSchema,
} from "./serviceMessages.js";

/** Carries a complete JSON-RPC 2.0 request, notification or response. @public */
export const rpcMessageSchema = z.object({ type: z.literal("rpc"), body: z.unknown() });

/**
 * Every message that a link carries.
 *
 * @public
 */
export const messageSchema = z.discriminatedUnion("type", [
    helloSchema,
    rpcMessageSchema,
    loadMessageSchema,
    openMessageSchema,
    creditMessageSchema,
    cancelMessageSchema,
    tokensMessageSchema,
    doneMessageSchema,
    failedMessageSchema,
    joinMessageSchema,
    joinedMessageSchema,
    frameMessageSchema,
    sampledMessageSchema,
    stageFailedMessageSchema,
    callMessageSchema,
    replyMessageSchema,
    replyBodyMessageSchema,
    callFailedMessageSchema,
    callCancelMessageSchema,
    replyCreditMessageSchema,
]);

/** @public */
export type Message = z.infer<typeof messageSchema>;
