import { type Clock } from "@waxwingspar/utils";
import { z } from "zod";
import { type CallEnd } from "./CallEnd.js";

const errorSchema = z.object({ error: z.object({ number: z.number().int() }) });
const chunkSchema = z.object({
    choices: z.array(z.object({ text: z.string().optional(), finish_reason: z.string().nullish() })),
    usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number() }).nullish(),
});
const dataPrefix = "data: ";

/** The most text that is kept of a line or of an answer that is not a stream. */
const maxKept = 1_048_576;

/**
 * Reads one answer, piece by piece: a stream of server-sent events, or a whole body.
 *
 * @internal
 */
export class AnswerReader {
    private kept = "";
    private finished = false;
    private whole = false;
    private code: number | undefined;
    private usage: z.infer<typeof chunkSchema>["usage"];
    private readonly pieceTimes: number[] = [];
    private readonly streamed: boolean;

    /** @param stream - True when a stream was asked for; an answer with an error status is never one. */
    constructor(private readonly clock: Clock, private readonly status: number, stream: boolean) {
        this.streamed = stream && status === 200;
    }

    take(piece: string): void {
        if (!this.streamed) {
            this.kept = (this.kept + piece).slice(0, maxKept);
            return;
        }
        const lines = (this.kept + piece).split("\n");
        this.kept = (lines.pop() ?? "").slice(0, maxKept);
        lines.filter(line => line.startsWith(dataPrefix)).forEach(line => this.takeData(line.slice(dataPrefix.length)));
    }

    end(): CallEnd {
        if (!this.streamed && (this.status < 200 || this.status > 299)) {
            this.code = errorCode(parseJson(this.kept));
            return this.result(this.code === undefined ? "broken" : "refused");
        }
        if (!this.streamed || this.whole) {
            return this.result("completed");
        }
        return this.result(this.code === undefined ? "broken" : "refused");
    }

    /** The end of an answer that was cut off. */
    cut(outcome: "broken" | "not connected" | "timed out"): CallEnd {
        return this.result(outcome);
    }

    private takeData(data: string): void {
        if (data === "[DONE]") {
            this.whole = this.finished;
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
        this.finished ||= typeof choice?.finish_reason === "string";
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
