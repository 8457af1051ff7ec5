import { type CallMessage } from "@waxwingspar/transport";
import { type Clock, type Failure, failure, requestCodes, sleep, type Timer } from "@waxwingspar/utils";
import { type Dispatcher } from "undici";
import { type CallSink } from "./CallSink.js";
import { replyHeaders, requestHeaders } from "./headers.js";

/** Codes of errors that occur before any byte of the call was sent. */
const notSentErrors = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Milliseconds between two checks of a link with too many queued bytes. */
const congestionPoll = 5;

/** @internal */
export interface ServiceCallOptions {
    readonly message: CallMessage;
    readonly dispatcher: Dispatcher;
    /** The base path of the service, without a trailing slash. */
    readonly root: string;
    readonly clock: Clock;
    /** Timeout in milliseconds for the complete answer. */
    readonly timeout: number;
    readonly sink: CallSink;
    /** Called once when the call may have reached the service, before the sink receives anything. */
    readonly sent: () => void;
    /** Maximum size in bytes of a piece of the answer. */
    readonly piece: number;
    /** Bytes queued for the entry above which no more of the answer is read. */
    readonly highWater: number;
}

/**
 * One call to the plain service that the agent proxies.
 *
 * @internal
 */
export class ServiceCall {
    private readonly controller = new AbortController();
    private timer: Timer | undefined;
    private timedOut = false;
    private answered = false;
    /** Resumes a call that waits for credit. */
    private wake: () => void = () => undefined;

    constructor(private readonly options: ServiceCallOptions) {}

    /** Runs the call. It always ends or fails the sink, and never throws. */
    async run(): Promise<void> {
        const { clock, timeout, sink } = this.options;
        sink.onReady(() => this.wake());
        this.timer = clock.schedule(() => this.expire(), timeout);
        try {
            await this.exchange();
            sink.end();
        }
        catch (error) {
            sink.failed(this.toFailure(error));
        }
        finally {
            this.timer.cancel();
        }
    }

    /** Aborts the call. */
    abort(): void {
        this.controller.abort();
        this.wake();
    }

    private async exchange(): Promise<void> {
        const { message, dispatcher, root, sink, sent } = this.options;
        const reply = await dispatcher.request({
            path: root + message.path,
            method: message.method,
            headers: requestHeaders(message.headers),
            body: message.body.length === 0 ? undefined : Buffer.from(message.body),
            signal: this.controller.signal,
        });
        this.answered = true;
        sent();
        sink.item({ kind: "head", status: reply.statusCode, headers: replyHeaders(reply.headers) });
        for await (const chunk of reply.body as AsyncIterable<Uint8Array<ArrayBuffer>>) {
            this.sendPieces(chunk);
            await this.drained();
            await this.granted();
        }
    }

    private sendPieces(chunk: Uint8Array<ArrayBuffer>): void {
        const { piece, sink } = this.options;
        for (let offset = 0; offset < chunk.length; offset += piece) {
            sink.item({ kind: "body", data: chunk.subarray(offset, offset + piece) });
        }
    }

    /** Waits while too many bytes are queued for the entry, so that a slow caller does not fill the agent's memory. */
    private async drained(): Promise<void> {
        const { sink, clock, highWater } = this.options;
        while (sink.queuedBytes > highWater && !this.controller.signal.aborted) {
            await sleep(clock, congestionPoll);
        }
    }

    /** Waits while the credit is used up, so that the unread rest of the answer stays at the service. */
    private async granted(): Promise<void> {
        const { signal } = this.controller;
        while (!this.options.sink.ready && !signal.aborted) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
        signal.throwIfAborted();
    }

    private expire(): void {
        this.timedOut = true;
        this.abort();
    }

    /** Converts an error to a failure. Only an error before anything was sent proves that the call did not run. */
    private toFailure(error: unknown): Failure {
        if (!this.answered && notSentErrors.has(errorCode(error))) {
            return failure(requestCodes.noCapacity, `the service accepts no connection: ${errorCode(error)}`);
        }
        if (!this.answered) {
            this.options.sent();
        }
        return this.timedOut
            ? failure(requestCodes.deadlineExceeded, "the service did not answer in time")
            : failure(requestCodes.outcomeUnknown, `the call was interrupted: ${errorCode(error)}`);
    }
}

function errorCode(error: unknown): string {
    if (typeof error === "object" && error !== null && "code" in error) {
        return String(error.code);
    }
    return "no code";
}
