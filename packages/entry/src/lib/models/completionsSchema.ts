import { type Sampling } from "@waxwingspar/transport";
import { z } from "zod";
import { renderPrompt } from "./renderPrompt.js";

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });

const messageSchema = z.object({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(textPartSchema).transform(parts => parts.map(part => part.text).join(""))]),
});

const maxStops = 4;
const maxTokenLimit = 1_000_000;
const stopSchema = z.string().min(1).max(256);

/** Fields common to both routes. Unsupported fields that would change the answer are refused. */
const commonFields = {
    model: z.string().min(1).max(128),
    stream: z.boolean().nullish(),
    stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
    max_tokens: z.number().int().positive().max(maxTokenLimit).nullish(),
    temperature: z.number().min(0).max(2).nullish(),
    top_p: z.number().gt(0).max(1).nullish(),
    seed: z.number().int().nullish(),
    stop: z.union([stopSchema.transform(stop => [stop]), z.array(stopSchema).max(maxStops)]).nullish(),
    n: z.literal(1, "only one answer for each request is supported").nullish(),
    logprobs: z.literal(false, "not supported").nullish(),
    tools: z.array(z.unknown()).max(0, "not supported").nullish(),
};

/** The body of POST /v1/chat/completions. @internal */
export const chatSchema = z.object({
    ...commonFields,
    messages: z.array(messageSchema).min(1),
    max_completion_tokens: z.number().int().positive().max(maxTokenLimit).nullish(),
});

/** The body of POST /v1/completions. @internal */
export const completionSchema = z.object({
    ...commonFields,
    prompt: z.union([z.string(), z.array(z.string()).length(1).transform(([prompt = ""]) => prompt)]),
    echo: z.literal(false, "not supported").nullish(),
    best_of: z.literal(1, "only one answer for each request is supported").nullish(),
});

/** Maximum tokens of an answer if the caller sets no limit. */
const defaultMaxTokens = 512;

/**
 * A completion request, independent of the route and format in which it arrived.
 *
 * @internal
 */
export interface CompletionRequest {
    /** The model as named by the caller: `name` or `name:adapter`. */
    readonly model: string;
    readonly prompt: string;
    readonly stream: boolean;
    readonly includeUsage: boolean;
    readonly sampling: Sampling;
}

/** @internal */
export function fromChat(body: z.infer<typeof chatSchema>): CompletionRequest {
    return toRequest(body, renderPrompt(body.messages), body.max_completion_tokens ?? body.max_tokens ?? undefined);
}

/** @internal */
export function fromCompletion(body: z.infer<typeof completionSchema>): CompletionRequest {
    return toRequest(body, body.prompt, body.max_tokens ?? undefined);
}

function toRequest(
    body: Omit<z.infer<typeof completionSchema>, "prompt">,
    prompt: string,
    maxTokens: number | undefined,
): CompletionRequest {
    return {
        model: body.model,
        prompt,
        stream: body.stream ?? false,
        includeUsage: body.stream_options?.include_usage ?? false,
        sampling: {
            maxTokens: maxTokens ?? defaultMaxTokens,
            temperature: body.temperature ?? undefined,
            topP: body.top_p ?? undefined,
            seed: body.seed ?? undefined,
            stop: body.stop ?? [],
        },
    };
}
