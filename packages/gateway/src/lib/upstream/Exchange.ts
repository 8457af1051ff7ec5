import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { type Socket } from "node:net";

/** Why an exchange ended without a whole reply. */
export interface ExchangeFailure {
    /** True when no byte of the request can have reached the target, so it cannot run there. */
    readonly neverSent: boolean;
    readonly reason: string;
}

/** The part of a reply that comes before its body. */
export type ReplyMessage = Pick<IncomingMessage, "statusCode" | "headers" | "rawHeaders">;

/** An exchange as those that started it see it. */
export type OpenExchange = Pick<Exchange, "pause" | "resume" | "cancel" | "neverSent">;

/** What an exchange tells of its reply, in this order. `onFailure` or `onEnd` comes last, and only one of them. */
export interface ExchangeListener {
    onHead(response: ReplyMessage): void;
    onData(chunk: Buffer): void;
    onEnd(): void;
    onFailure(failure: ExchangeFailure): void;
}

/** Options of {@link Exchange}. */
export interface ExchangeOptions {
    readonly host: string;
    readonly port: number;
    readonly method: string;
    readonly path: string;
    /** Name and value by turns. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Milliseconds for the connection to open. */
    readonly connectTimeout: number;
    readonly listener: ExchangeListener;
}

/**
 * One request to a target and its reply, on a connection of its own. A connection that is never used again cannot carry
 * a late second reply or a half-read body over to another request, and cannot have gone silent while it was idle. An
 * opened connection costs about 0.2% of the worth of a request on it, and 1 ms.
 */
export class Exchange {
    private readonly call: ClientRequest;
    private readonly connectTimer: NodeJS.Timeout;
    private response: IncomingMessage | undefined;
    private isConnected = false;
    private isOver = false;
    private wasReset = false;

    constructor(private readonly options: ExchangeOptions) {
        const { host, port, method, path, headers, body, connectTimeout } = options;
        this.call = request({ host, port, method, path, headers, agent: false });
        this.connectTimer = setTimeout(() => this.endUnconnected(), connectTimeout);
        this.call.once("socket", socket => {
            socket.setNoDelay(true);
            socket.prependOnceListener("end", () => this.noteReset(socket));
            socket.once("connect", () => {
                this.isConnected = true;
                clearTimeout(this.connectTimer);
            });
        });
        this.call.on("error", (error: NodeJS.ErrnoException) => this.fail(error.code ?? error.message));
        this.call.once("response", response => this.receive(response));
        this.call.end(body);
    }

    /** Stops reading, until {@link Exchange.resume}, because the caller does not keep up. */
    pause(): void {
        this.response?.pause();
    }

    resume(): void {
        this.response?.resume();
    }

    /** Ends the exchange without a further word to its listener. The target sees its connection close. */
    cancel(): void {
        this.close();
    }

    /** True while nothing can have reached the target. */
    get neverSent(): boolean {
        return !this.isConnected;
    }

    /**
     * Tells a reset from an orderly end. When the last bytes and a reset arrive together, Node reports a plain end, and
     * a reply without a length, which ends with its connection, looks whole. Only a connection that was reset has no
     * peer any more at this moment.
     */
    private noteReset(socket: Socket): void {
        this.wasReset = socket.remoteAddress === undefined;
    }

    private receive(response: IncomingMessage): void {
        if (this.isOver) {
            return;
        }
        this.response = response;
        response.on("error", (error: NodeJS.ErrnoException) => this.fail(error.code ?? error.message));
        response.once("close", () => this.fail("closed"));
        const { listener } = this.options;
        listener.onHead(response);
        response.on("data", (chunk: Buffer) => {
            if (!this.isOver) {
                listener.onData(chunk);
            }
        });
        response.once("end", () => {
            if (!response.complete || this.wasReset) {
                this.fail(this.wasReset ? "reset" : "truncated");
            }
            else if (!this.isOver) {
                this.close();
                listener.onEnd();
            }
        });
    }

    /** Timers run before input is read: a connection that opened while this process stood still is noticed first. */
    private endUnconnected(): void {
        setImmediate(() => {
            if (!this.isConnected) {
                this.fail("connect timeout");
            }
        });
    }

    private fail(reason: string): void {
        if (this.isOver) {
            return;
        }
        const neverSent = this.neverSent;
        this.close();
        this.options.listener.onFailure({ neverSent, reason });
    }

    private close(): void {
        this.isOver = true;
        clearTimeout(this.connectTimer);
        this.call.destroy();
    }
}
