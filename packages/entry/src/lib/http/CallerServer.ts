import {
    clientLimits,
    GuardedServer,
    type GuardReason,
    MemoryBudget,
    ServerStop,
    type StopLimit,
} from "@waxwingspar/connections";
import { type Address } from "@waxwingspar/transport";
import { type Clock, type Failure, failure, type Outcome, requestCodes, transportCodes } from "@waxwingspar/utils";
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { type Duplex } from "node:stream";
import { Result } from "true-myth";
import { type EntryLimits } from "../EntryLimits.js";
import { errorBody, retryAfterOf } from "./errorBody.js";
import { Exchange } from "./Exchange.js";

/** @internal */
export interface CallerServerOptions {
    readonly listen: Address;
    readonly limits: EntryLimits;
    readonly clock: Clock;
    /** Handles each request and always sends a response; throwing indicates a bug. */
    readonly handle: (exchange: Exchange) => Promise<void>;
    /** Called for a request that was refused before its run began, with the milliseconds since its arrival. */
    readonly onRefused: (cause: Failure, duration: number) => void;
    /** Called for each connection that is closed and each request that is refused because of what its caller does. */
    readonly onGuarded: (reason: GuardReason) => void;
    /** Called with an unexpected error of the handler. */
    readonly onUnexpectedError: (fault: unknown) => void;
}

/** Milliseconds between checks of the connections' time limits. */
const checkInterval = 500;
const millisecondsPerSecond = 1_000;

/**
 * The HTTP server for callers. It enforces the limits on headers, time and connections, and answers requests that the
 * HTTP parser rejects with the same error bodies as all other refusals.
 *
 * @internal
 */
export class CallerServer {
    private readonly options: CallerServerOptions;
    private readonly guarded: GuardedServer;
    private readonly server: Server;
    private readonly stopping: ServerStop;
    private readonly openByConnection = new WeakMap<Duplex, number>();

    constructor(options: CallerServerOptions) {
        const { limits } = options;
        this.options = options;
        this.guarded = new GuardedServer({
            clock: options.clock,
            budget: new MemoryBudget({
                clock: options.clock,
                maxBytes: limits.maxBodyMemory + limits.maxReplyMemory,
            }),
            maxConnections: Math.min(limits.maxConnections, clientLimits().connections),
            // One more than may be open, so that it is refused.
            maxRunning: limits.maxOpenPerConnection + 1,
            answerTimeout: limits.writeStallTimeout,
            onRequest: (request, response) => this.handleRequest(request, response),
            refuse: (response, reason) => this.refuse(response, reason),
            refuseUnread,
            onGuarded: options.onGuarded,
            server: {
                maxHeaderSize: limits.maxHeaderBytes,
                headersTimeout: Math.min(limits.headerTimeout, limits.bodyTimeout),
                requestTimeout: limits.bodyTimeout,
                keepAliveTimeout: limits.keepAliveTimeout,
                connectionsCheckingInterval: checkInterval,
                noDelay: true,
            },
        });
        this.server = this.guarded.http;
        this.stopping = new ServerStop({ clock: options.clock, server: this.guarded });
    }

    private refuse(response: ServerResponse, reason: GuardReason): void {
        const cause = guardFailure(reason);
        this.options.onRefused(cause, 0);
        const body = JSON.stringify(errorBody(cause));
        const retryAfter = retryAfterOf(cause);
        response.writeHead(cause.code.status, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            ...retryAfter === undefined ? {} : { "Retry-After": Math.ceil(retryAfter / millisecondsPerSecond) },
        });
        response.end(body);
    }

    /** Starts listening. @returns The address that it listens on. */
    listen(): Promise<Outcome<Address>> {
        const { host, port } = this.options.listen;
        return new Promise(resolve => {
            this.server.once("error", error => {
                resolve(Result.err(failure(transportCodes.notConnected, `cannot listen: ${error.message}`)));
            });
            this.server.listen(port, host, () => {
                const address = this.server.address() as AddressInfo;
                resolve(Result.ok({ host: address.address, port: address.port }));
            });
        });
    }

    /** Lets every connection end with the answer to the last request that was received on it. */
    endConnections(): void {
        this.guarded.endConnections();
    }

    /**
     * Stops accepting connections, and closes each one once all that it received is answered.
     *
     * @param limit - The time in which this ends, and what ends the requests that are still in progress then.
     */
    stop(limit: StopLimit): Promise<void> {
        return this.stopping.run(limit);
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const { clock, handle, limits, onUnexpectedError, onRefused } = this.options;
        const arrived = clock.now();
        const exchange = new Exchange({
            request,
            response,
            clock,
            onRefused: cause => onRefused(cause, clock.now() - arrived),
        });
        const open = this.count(request.socket, response);
        if (open > limits.maxOpenPerConnection && !this.stopping.isFinishing) {
            const message = "too many requests are in progress on this connection";
            response.shouldKeepAlive = false;
            exchange.refuse(failure(requestCodes.overloaded, message));
            return;
        }
        // Only once everything that arrived with the request is parsed can its answer tell whether it is the last one.
        queueMicrotask(() => {
            handle(exchange).catch((fault: unknown) => {
                onUnexpectedError(fault);
                response.destroy();
            });
        });
    }

    private count(socket: Duplex, response: ServerResponse): number {
        const open = (this.openByConnection.get(socket) ?? 0) + 1;
        this.openByConnection.set(socket, open);
        response.once("close", () => {
            this.openByConnection.set(socket, (this.openByConnection.get(socket) ?? 1) - 1);
        });
        return open;
    }
}

/** Returns an error response for a connection on which no valid request could be read. */
function refuseUnread(reason: GuardReason): string {
    const cause = guardFailure(reason);
    const body = JSON.stringify(errorBody(cause));
    return [
        `HTTP/1.1 ${cause.code.status} ${cause.code.name}`,
        "Content-Type: application/json",
        `Content-Length: ${Buffer.byteLength(body)}`,
        "Connection: close",
        "",
        body,
    ].join("\r\n");
}

function guardFailure(reason: GuardReason): Failure {
    switch (reason) {
        case "headersTooLarge":
            return failure(requestCodes.tooLarge, "the headers exceed their limit");
        case "tooLarge":
            return failure(requestCodes.tooLarge, "the request exceeds its limit");
        case "tooSlow":
            return failure(requestCodes.tooSlow, "the request did not arrive in time");
        case "malformed":
            return failure(requestCodes.malformed, "the request is not valid HTTP");
        case "memory":
        case "descriptors":
        case "unread":
            return failure(requestCodes.memoryUsedUp, "callers have used up what they may occupy");
    }
}
