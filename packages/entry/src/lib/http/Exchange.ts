import { type Clock, type Failure, uniqueId } from "@waxwingspar/utils";
import { type IncomingMessage, type OutgoingHttpHeaders, type ServerResponse } from "node:http";
import { errorBody, retryAfterOf } from "./errorBody.js";

/** @internal */
export interface ExchangeOptions {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly clock: Clock;
    /** Called for a request that is refused before its run began. */
    readonly onRefused: (cause: Failure) => void;
}

const maxCallerRequest = 128;
const printable = /^[\x21-\x7e]+$/;

/**
 * One request of a caller and the response to it.
 *
 * @internal
 */
export class Exchange {
    /** Identifies the request between processes. The caller's own `X-Request-Id` is only passed along. */
    readonly id = uniqueId();
    readonly callerRequest: string | undefined;
    /** The clock's time at which the headers had arrived. */
    readonly arrived: number;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    private readonly onRefused: (cause: Failure) => void;
    private gone = false;
    private readonly disconnectHandlers: (() => void)[] = [];

    constructor({ request, response, clock, onRefused }: ExchangeOptions) {
        this.onRefused = onRefused;
        this.request = request;
        this.response = response;
        this.arrived = clock.now();
        this.callerRequest = acceptableId(this.header("x-request-id"));
        response.setHeader("X-Request-Id", this.callerRequest ?? this.id);
        request.on("error", ignore);
        response.on("error", ignore);
        const handleEnd = () => this.noteDisconnect();
        request.socket.once("end", handleEnd);
        response.once("close", () => {
            request.socket.removeListener("end", handleEnd);
            this.noteDisconnect();
        });
    }

    /** The path without the query. */
    get path(): string {
        return this.target.split("?", 1)[0] ?? "/";
    }

    /** Path and query as they were sent. */
    get target(): string {
        return this.request.url ?? "/";
    }

    get method(): string {
        return this.request.method ?? "GET";
    }

    /** True once the caller has disconnected before receiving its complete answer. */
    get disconnected(): boolean {
        return this.gone;
    }

    /** True once the caller has disconnected, or the answer is complete or broken off. */
    get isOver(): boolean {
        return this.gone || this.response.writableEnded || this.response.destroyed;
    }

    header(name: string): string | undefined {
        const value = this.request.headers[name];
        return Array.isArray(value) ? value[0] : value;
    }

    /** Calls a function once if the caller disconnects before receiving its complete answer. */
    onDisconnect(handler: () => void): void {
        this.disconnectHandlers.push(handler);
    }

    /**
     * A caller has disconnected when the end of its connection is read. The response closes only turns of the event loop
     * later, when this side of the connection has ended too.
     */
    private noteDisconnect(): void {
        if (!this.gone && !this.response.writableFinished) {
            this.gone = true;
            this.disconnectHandlers.splice(0).forEach(handler => handler());
        }
    }

    /** Sends a complete response with a JSON body, unless a response has already begun. */
    sendJson(status: number, body: unknown, headers: OutgoingHttpHeaders = {}): void {
        if (this.response.headersSent || this.response.destroyed) {
            return;
        }
        const data = Buffer.from(JSON.stringify(body));
        this.response.writeHead(status, {
            "Content-Type": "application/json",
            "Content-Length": data.length,
            ...headers,
        });
        this.response.end(data);
    }

    /**
     * Refuses the request before its run has begun, unless it has been answered.
     *
     * @param status - The HTTP status, if it differs from that of the result code.
     */
    refuse(failure: Failure, status?: number, headers?: OutgoingHttpHeaders): void {
        if (!this.response.headersSent) {
            this.onRefused(failure);
            this.sendFailure(failure, status, headers);
        }
    }

    /** Breaks off an answer that has begun: sends what there is of it, and closes the connection before its end. */
    breakOff(): void {
        const { response } = this;
        const closeLater = () => void setImmediate(() => response.destroy());
        response.flushHeaders();
        if (response.socket === null) {
            // It waits for earlier answers of its connection.
            response.once("socket", closeLater);
        }
        else if (response.socket.writableCorked > 0) {
            // Node.js writes at the end of this turn.
            closeLater();
        }
        else {
            response.destroy();
        }
    }

    /** Sends a refusal or failure as the complete response. */
    sendFailure(failure: Failure, status: number = failure.code.status, headers: OutgoingHttpHeaders = {}): void {
        const retryAfter = failure.code.retry === "later" ? retryAfterOf(failure) : undefined;
        const retryHeaders = retryAfter === undefined ? {} : { "Retry-After": Math.ceil(retryAfter / 1000) };
        this.sendJson(status, errorBody(failure), { ...retryHeaders, ...headers });
    }
}

function acceptableId(value: string | undefined): string | undefined {
    return value !== undefined && value.length <= maxCallerRequest && printable.test(value) ? value : undefined;
}

/** Socket errors need no handling of their own: they are followed by `close`, which the request handles. */
function ignore(): void {}
