import { type CallMessage } from "@waxwingspar/transport";
import { type Clock, type Failure, failure, requestCodes, sleep, type Timer } from "@waxwingspar/utils";
import { type Dispatcher } from "undici";
import { type CallSink } from "./CallSink.js";
import { replyHeaders, requestHeaders } from "./headers.js";

/** Errors that come before a single byte of the call could be sent. */
const notSentErrors = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Milliseconds between two looks at a link that has too much queued. */
const congestionPoll = 5;

/** @internal */
export interface ServiceCallOptions {
    readonly message: CallMessage;
    readonly dispatcher: Dispatcher;
    /** The path below which the service answers, without a slash at its end. */
    readonly root: string;
    readonly clock: Clock;
    /** Milliseconds for the whole answer. */
    readonly timeout: number;
    readonly sink: CallSink;
    /** Runs once, as soon as the call may have reached the service, before the sink is told anything. */
    readonly sent: () => void;
    /** Bytes of the largest piece that is sent at once. */
    readonly piece: number;
    /** Bytes queued towards the entry from which on no more of the answer is read. */
    readonly highWater: number;
}

/**
 * One call to the plain service beside the agent.
 *
 * @internal
 */
export class ServiceCall {
    private readonly controller = new AbortController();
    private timer: Timer | undefined;
    private timedOut = false;
    private answered = false;
    /** Ends the wait for credit. */
    private wake: () => void = () => undefined;

    constructor(private readonly options: ServiceCallOptions) {}

    /** Runs the call. It always ends the sink, and never throws. */
    async run(): Promise<void> {
        const { clock, timeout, sink } = this.options;
        sink.onReady(() => this.wake());
        this.timer = clock.schedule(() => this.expire(), timeout);
        try {
            await this.exchange();
            sink.end();
        }
        catch (error) {
            sink.failed(this.judge(error));
        }
        finally {
            this.timer.cancel();
        }
    }

    /** Breaks the call off. */
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

    /** Waits while the entry is behind, so that a slow caller does not fill the agent's memory. */
    private async drained(): Promise<void> {
        const { sink, clock, highWater } = this.options;
        while (sink.queuedBytes > highWater && !this.controller.signal.aborted) {
            await sleep(clock, congestionPoll);
        }
    }

    /** Waits while the credit is used up, so that what a slow caller has not taken stays at the service. */
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

    /** What an error says about the call: only an error before anything was sent proves that it did not run. */
    private judge(error: unknown): Failure {
        if (!this.answered && notSentErrors.has(errorCode(error))) {
            return failure(requestCodes.noCapacity, "the service takes no connection");
        }
        if (!this.answered) {
            this.options.sent();
        }
        return this.timedOut
            ? failure(requestCodes.deadlineExceeded, "the service did not answer in time")
            : failure(requestCodes.outcomeUnknown, `the call was broken off: ${errorCode(error)}`);
    }
}

function errorCode(error: unknown): string {
    if (typeof error === "object" && error !== null && "code" in error) {
        return String(error.code);
    }
    return "no code";
}
