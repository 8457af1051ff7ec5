import { type AnswerEnd } from "./AnswerSink.js";

/** @internal */
export interface AnswerFormatOptions {
    readonly id: string;
    readonly model: string;
    /** Seconds since 1970. */
    readonly created: number;
    readonly chat: boolean;
}

/**
 * Formats answers as clients of common model APIs expect them. The text around each token is built once per request.
 *
 * @internal
 */
export class AnswerFormat {
    private readonly chat: boolean;
    private readonly head: { readonly id: string; readonly created: number; readonly model: string; };
    private readonly before: string;
    private readonly after: string;

    constructor({ id, model, created, chat }: AnswerFormatOptions) {
        this.chat = chat;
        this.head = { id: `${chat ? "chatcmpl" : "cmpl"}-${id}`, created, model };
        const chunk = this.chunk({ content: "@" }, "@", undefined);
        const split = chunk.indexOf("\"@\"");
        this.before = chunk.slice(0, split);
        this.after = chunk.slice(split + 3);
    }

    /** The event that begins a stream; empty if the format has none. */
    first(): string {
        return this.chat ? this.chunk({ role: "assistant", content: "" }, "", undefined) : "";
    }

    /** The event of one token. */
    token(text: string): string {
        return this.before + JSON.stringify(text) + this.after;
    }

    /** The event that ends a stream. */
    last(end: AnswerEnd): string {
        return this.chunk({}, "", end.finish);
    }

    /** The usage event, which follows the last event if the caller asked for it. */
    usage(end: AnswerEnd): string {
        return event({ ...this.head, object: this.object(true), choices: [], usage: usageOf(end) });
    }

    /** The body of an answer that is not streamed. */
    whole(text: string, end: AnswerEnd): unknown {
        const content = this.chat ? { message: { role: "assistant", content: text } } : { text };
        return {
            ...this.head,
            object: this.object(false),
            choices: [{ index: 0, ...content, logprobs: null, finish_reason: end.finish }],
            usage: usageOf(end),
        };
    }

    private chunk(delta: object, text: string, finish: string | undefined): string {
        const content = this.chat ? { delta } : { text };
        const reason = finish ?? null;
        return event({
            ...this.head,
            object: this.object(true),
            choices: [{ index: 0, ...content, finish_reason: reason }],
        });
    }

    private object(streamed: boolean): string {
        if (!this.chat) {
            return "text_completion";
        }
        return streamed ? "chat.completion.chunk" : "chat.completion";
    }
}

/** One server-sent event. @internal */
export function event(data: unknown): string {
    return `data: ${JSON.stringify(data)}\n\n`;
}

function usageOf(end: AnswerEnd): object {
    return {
        prompt_tokens: end.promptTokens,
        completion_tokens: end.answerTokens,
        total_tokens: end.promptTokens + end.answerTokens,
        prompt_tokens_details: { cached_tokens: end.cachedTokens },
    };
}
