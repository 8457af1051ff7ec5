import { type Failure } from "@waxwingspar/utils";
import { errorBody } from "../http/errorBody.js";
import { type Exchange } from "../http/Exchange.js";
import { type PacedWriter } from "../http/PacedWriter.js";
import { type AnswerFormat, event } from "./AnswerFormat.js";
import { type AnswerEnd, type AnswerSink } from "./AnswerSink.js";

const streamHeaders = {
    "Content-Type": "text/event-stream; charset=utf-8",
    "Cache-Control": "no-cache",
    "X-Accel-Buffering": "no",
};

const endOfStream = "data: [DONE]\n\n";

/** @internal */
export interface StreamedAnswerOptions {
    readonly exchange: Exchange;
    readonly format: AnswerFormat;
    readonly writer: PacedWriter;
    readonly includeUsage: boolean;
}

/**
 * Sends an answer as server-sent events. The response begins only with the first token, so that an
 * earlier refusal can still be sent with its own HTTP status.
 *
 * @internal
 */
export class StreamedAnswer implements AnswerSink {
    private readonly options: StreamedAnswerOptions;
    private begun = false;

    constructor(options: StreamedAnswerOptions) {
        this.options = options;
    }

    write(texts: readonly string[]): boolean {
        let events = this.begin();
        for (const text of texts) {
            events += this.options.format.token(text);
        }
        return this.options.writer.queue(events);
    }

    end(end: AnswerEnd): void {
        const { format, includeUsage, writer } = this.options;
        const usage = includeUsage ? format.usage(end) : "";
        writer.end(this.begin() + format.last(end) + usage + endOfStream);
    }

    fail(failure: Failure): void {
        if (this.begun) {
            this.options.writer.end(event(errorBody(failure)));
        }
        else {
            this.options.exchange.sendFailure(failure);
        }
    }

    private begin(): string {
        if (this.begun) {
            return "";
        }
        this.begun = true;
        this.options.writer.begin(200, streamHeaders);
        return this.options.format.first();
    }
}

/** @internal */
export interface WholeAnswerOptions {
    readonly exchange: Exchange;
    readonly format: AnswerFormat;
    readonly writer: PacedWriter;
}

/**
 * Collects an answer and sends it as a single response.
 *
 * @internal
 */
export class WholeAnswer implements AnswerSink {
    private readonly options: WholeAnswerOptions;
    private text = "";

    constructor(options: WholeAnswerOptions) {
        this.options = options;
    }

    write(texts: readonly string[]): boolean {
        this.text += texts.join("");
        return true;
    }

    end(end: AnswerEnd): void {
        const { exchange, format, writer } = this.options;
        const body = JSON.stringify(format.whole(this.text, end));
        exchange.response.writeHead(200, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
        });
        writer.end(body);
    }

    fail(failure: Failure): void {
        this.options.exchange.sendFailure(failure);
    }
}
