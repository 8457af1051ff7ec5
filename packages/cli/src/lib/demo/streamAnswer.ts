import { type Clock, sleep } from "@waxwingspar/utils";
import { fetch, type Response } from "undici";
import { z } from "zod";

/** @internal */
export interface StreamOptions {
    /** Where callers connect, such as `http://127.0.0.1:8080`. */
    readonly origin: string;
    readonly clock: Clock;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    /** Correlates the caller's history with that of the site. */
    readonly requestId: string;
    /** Called for each piece of text as it arrives. */
    readonly onText?: (text: string) => void;
}

/** One answer as its caller received it. @internal */
export interface StreamedAnswer {
    readonly text: string;
    /** True if the stream ended with a finish reason and the end mark. */
    readonly whole: boolean;
    readonly pieces: number;
    /** The longest time between two pieces, in milliseconds. */
    readonly longestPause: number;
}

const chunkSchema = z.object({
    choices: z.array(z.object({ text: z.string().optional(), finish_reason: z.string().nullish() })),
});

const dataPrefix = "data: ";
const endMark = "[DONE]";

/** Attempts per request. A site on a busy machine may refuse a few requests that it could not answer in time. */
const maxTries = 10;
const millisecondsPerSecond = 1000;
const unavailable = 503;

/**
 * Sends one streamed completion and reads the answer. A request that is refused with `Retry-After` is sent again after
 * that time.
 *
 * @internal
 */
export async function streamAnswer(options: StreamOptions): Promise<StreamedAnswer> {
    const { clock } = options;
    const response = await sendUntilAccepted(options);
    const reader = new AnswerReader(clock, options.onText ?? (() => undefined));
    if (response.ok && response.body !== null) {
        for await (const line of linesOf(response.body as AsyncIterable<Uint8Array>)) {
            reader.readLine(line);
        }
    }
    return reader.answer();
}

async function sendUntilAccepted(options: StreamOptions): Promise<Response> {
    for (let tries = 1;; tries++) {
        const response = await send(options);
        const retryAfter = Number(response.headers.get("Retry-After"));
        if (response.status !== unavailable || retryAfter <= 0 || tries === maxTries) {
            return response;
        }
        await response.body?.cancel();
        await sleep(options.clock, retryAfter * millisecondsPerSecond);
    }
}

function send({ origin, model, prompt, maxTokens, requestId }: StreamOptions): Promise<Response> {
    return fetch(`${origin}/v1/completions`, {
        method: "POST",
        headers: { "Content-Type": "application/json", "X-Request-Id": requestId },
        body: JSON.stringify({ model, prompt, max_tokens: maxTokens, stream: true }),
    });
}

class AnswerReader {
    private text = "";
    private pieces = 0;
    private longestPause = 0;
    private lastPiece: number | undefined;
    private finished = false;
    private ended = false;

    constructor(private readonly clock: Clock, private readonly onText: (text: string) => void) {}

    readLine(line: string): void {
        if (!line.startsWith(dataPrefix)) {
            return;
        }
        const data = line.slice(dataPrefix.length);
        if (data === endMark) {
            this.ended = true;
            return;
        }
        const chunk = chunkSchema.safeParse(JSON.parse(data));
        const choice = chunk.success ? chunk.data.choices[0] : undefined;
        this.finished ||= typeof choice?.finish_reason === "string";
        if (choice?.text !== undefined && choice.text !== "") {
            this.add(choice.text);
        }
    }

    answer(): StreamedAnswer {
        const { text, pieces, longestPause } = this;
        return { text, whole: this.finished && this.ended, pieces, longestPause };
    }

    private add(text: string): void {
        const now = this.clock.now();
        this.longestPause = Math.max(this.longestPause, now - (this.lastPiece ?? now));
        this.lastPiece = now;
        this.text += text;
        this.pieces++;
        this.onText(text);
    }
}

async function* linesOf(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of body) {
        const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
        rest = lines.pop() ?? "";
        yield* lines;
    }
}
