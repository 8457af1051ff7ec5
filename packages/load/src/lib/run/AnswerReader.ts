import { type Clock } from "@waxwingspar/utils";
import { z } from "zod";
import { type CallEnd } from "./CallEnd.js";

const errorSchema = z.object({ error: z.object({ number: z.number().int() }) });
const chunkSchema = z.object({
    choices: z.array(z.object({ text: z.string().optional(), finish_reason: z.string().nullish() })),
    usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number() }).nullish(),
});
const dataPrefix = "data: ";

/** Maximum number of characters buffered of a line, or of an answer that is not a stream. */
const maxBufferLength = 1_048_576;

/**
 * Reads one answer incrementally: a stream of server-sent events, or a plain body.
 *
 * @internal
 */
export class AnswerReader {
    private buffer = "";
    private hasFinishReason = false;
    /** Whether the stream ended with `[DONE]` after a finish reason. */
    private whole = false;
    private code: number | undefined;
    private usage: z.infer<typeof chunkSchema>["usage"];
    private readonly pieceTimes: number[] = [];
    private readonly isStream: boolean;

    /** @param stream - Whether a stream was requested; an answer with any status but 200 is read as a plain body. */
    constructor(private readonly clock: Clock, private readonly status: number, stream: boolean) {
        this.isStream = stream && status === 200;
    }

    /** Reads the next part of the body. */
    read(piece: string): void {
        if (!this.isStream) {
            this.buffer = (this.buffer + piece).slice(0, maxBufferLength);
            return;
        }
        const lines = (this.buffer + piece).split("\n");
        this.buffer = (lines.pop() ?? "").slice(0, maxBufferLength);
        lines.filter(line => line.startsWith(dataPrefix)).forEach(line => this.readData(line.slice(dataPrefix.length)));
    }

    /** Returns the result of an answer whose body has ended. */
    end(): CallEnd {
        if (!this.isStream && (this.status < 200 || this.status > 299)) {
            this.code = errorCode(parseJson(this.buffer));
            return this.result(this.code === undefined ? "broken" : "refused");
        }
        if (!this.isStream || this.whole) {
            return this.result("completed");
        }
        return this.result(this.code === undefined ? "broken" : "refused");
    }

    /** Returns the result of an answer whose body did not end. */
    endIncomplete(outcome: "broken" | "not connected" | "timed out"): CallEnd {
        return this.result(outcome);
    }

    private readData(data: string): void {
        if (data === "[DONE]") {
            this.whole = this.hasFinishReason;
            return;
        }
        const value = parseJson(data);
        const chunk = chunkSchema.safeParse(value);
        if (!chunk.success) {
            this.code ??= errorCode(value);
            return;
        }
        this.usage = chunk.data.usage ?? this.usage;
        const choice = chunk.data.choices[0];
        this.hasFinishReason ||= typeof choice?.finish_reason === "string";
        if (choice?.text !== undefined && choice.text !== "") {
            this.pieceTimes.push(this.clock.now());
        }
    }

    private result(outcome: CallEnd["outcome"]): CallEnd {
        const { code, pieceTimes, usage } = this;
        return {
            outcome,
            code,
            pieceTimes,
            promptTokens: usage?.prompt_tokens,
            answerTokens: usage?.completion_tokens,
        };
    }
}

function errorCode(value: unknown): number | undefined {
    const parsed = errorSchema.safeParse(value);
    return parsed.success ? parsed.data.error.number : undefined;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
