import { type Clock } from "@waxwingspar/utils";
import { Agent as Connections, request } from "undici";
import { z } from "zod";

/** The outcome of one call as observed by its caller. @internal */
export interface CallResult {
    readonly outcome: "completed" | "not run" | "unknown";
    /** The number of the result code, if the entry returned one. */
    readonly code?: number;
    readonly text: string;
    /** When the call was sent, when it ended, and when each piece of the answer arrived, by the clock. */
    readonly sentAt: number;
    readonly endedAt: number;
    readonly pieceTimes: readonly number[];
}

/** @internal */
export interface CallOptions {
    readonly clock: Clock;
    readonly connections: Connections;
    readonly url: string;
    readonly method: "GET" | "POST";
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
    /** True when the answer is a stream of server-sent events. */
    readonly streamed: boolean;
}

const errorSchema = z.object({
    error: z.object({ number: z.number(), execution: z.enum(["completed", "not run", "unknown"]) }),
});
const chunkSchema = z.object({
    choices: z.array(z.object({ text: z.string().optional(), finish_reason: z.string().nullish() })).min(1),
});
const dataPrefix = "data: ";
const statusOk = 200;
/** Error codes of connections that were never established, so that the request cannot have run. */
const connectErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/** Creates a connection pool without pipelining; each call uses a connection of its own. @internal */
export function createConnections(): Connections {
    return new Connections({ connect: { timeout: 2000 }, headersTimeout: 60_000, bodyTimeout: 60_000, pipelining: 0 });
}

/**
 * Sends one call to an entry and reads its answer to the end.
 *
 * @internal
 */
export async function callEntry(options: CallOptions): Promise<CallResult> {
    const reader = new AnswerReader(options);
    try {
        const { statusCode, body } = await request(options.url, {
            method: options.method,
            headers: options.headers,
            body: options.body,
            dispatcher: options.connections,
        });
        reader.status = statusCode;
        for await (const piece of body as AsyncIterable<Buffer>) {
            reader.append(piece.toString("utf8"));
        }
        return reader.end();
    }
    catch (error) {
        return reader.broken(error);
    }
}

class AnswerReader {
    status = 0;
    private readonly sentAt: number;
    private partialLine = "";
    private text = "";
    private hasFinishReason = false;
    private whole = false;
    private failed: z.infer<typeof errorSchema> | undefined;
    private readonly pieceTimes: number[] = [];

    constructor(private readonly options: CallOptions) {
        this.sentAt = options.clock.now();
    }

    append(piece: string): void {
        if (this.status !== statusOk || !this.options.streamed) {
            this.text += piece;
            return;
        }
        const lines = (this.partialLine + piece).split("\n");
        this.partialLine = lines.pop() ?? "";
        lines.filter(line => line.startsWith(dataPrefix)).forEach(line =>
            this.readEvent(line.slice(dataPrefix.length))
        );
    }

    end(): CallResult {
        if (this.status !== statusOk) {
            const parsed = errorSchema.safeParse(parseJson(this.text));
            return this.result(parsed.success ? parsed.data : undefined, "unknown");
        }
        if (!this.options.streamed || this.whole) {
            return this.result(undefined, "completed");
        }
        return this.result(this.failed, "unknown");
    }

    broken(error: unknown): CallResult {
        const code = error instanceof Error && "code" in error ? String(error.code) : "";
        return this.result(undefined, this.status === 0 && connectErrorCodes.has(code) ? "not run" : "unknown");
    }

    private readEvent(data: string): void {
        if (data === "[DONE]") {
            this.whole = this.hasFinishReason;
            return;
        }
        const value = parseJson(data);
        const chunk = chunkSchema.safeParse(value);
        if (!chunk.success) {
            const failed = errorSchema.safeParse(value);
            this.failed = failed.success ? failed.data : this.failed;
            return;
        }
        const choice = chunk.data.choices[0];
        this.hasFinishReason ||= typeof choice?.finish_reason === "string";
        if (choice?.text !== undefined && choice.text !== "") {
            this.pieceTimes.push(this.options.clock.now());
            this.text += choice.text;
        }
    }

    private result(failed: z.infer<typeof errorSchema> | undefined, otherwise: CallResult["outcome"]): CallResult {
        const { text, sentAt, pieceTimes, options } = this;
        const outcome = failed?.error.execution ?? otherwise;
        return { outcome, code: failed?.error.number, text, sentAt, endedAt: options.clock.now(), pieceTimes };
    }
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
