import { type Address } from "@waxwingspar/transport";
import { type Clock, type Failure, failure, type Outcome, requestCodes, transportCodes } from "@waxwingspar/utils";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { type Duplex } from "node:stream";
import { Result } from "true-myth";
import { type EntryLimits } from "../EntryLimits.js";
import { errorBody } from "./errorBody.js";
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
    /** Called with an unexpected error of the handler. */
    readonly onUnexpectedError: (fault: unknown) => void;
}

/** Milliseconds between checks of the connections' time limits. */
const checkInterval = 500;

/**
 * The HTTP server for callers. It enforces the limits on headers, time and connections, and answers requests that the
 * HTTP parser rejects with the same error bodies as all other refusals.
 *
 * @internal
 */
export class CallerServer {
    private readonly options: CallerServerOptions;
    private readonly server: Server;
    private readonly openByConnection = new WeakMap<Duplex, number>();
    private closing = false;

    constructor(options: CallerServerOptions) {
        const { limits } = options;
        this.options = options;
        this.server = createServer({
            maxHeaderSize: limits.maxHeaderBytes,
            headersTimeout: Math.min(limits.headerTimeout, limits.bodyTimeout),
            requestTimeout: limits.bodyTimeout,
            keepAliveTimeout: limits.keepAliveTimeout,
            connectionsCheckingInterval: checkInterval,
            noDelay: true,
        }, (request, response) => this.handleRequest(request, response));
        this.server.maxConnections = limits.maxConnections;
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket) => refuseConnection(error, socket));
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

    /** Makes every further response close its connection. */
    disableKeepAlive(): void {
        this.closing = true;
    }

    /** Stops accepting connections and closes those that are idle. */
    stopAccepting(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    /** Closes every connection. */
    destroy(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const { clock, handle, limits, onUnexpectedError, onRefused } = this.options;
        if (this.closing) {
            response.setHeader("Connection", "close");
        }
        const arrived = clock.now();
        const exchange = new Exchange({
            request,
            response,
            clock,
            onRefused: cause => onRefused(cause, clock.now() - arrived),
        });
        if (this.count(request.socket, response) > limits.maxOpenPerConnection) {
            const message = "too many requests are in progress on this connection";
            exchange.refuse(failure(requestCodes.overloaded, message), undefined, { Connection: "close" });
            return;
        }
        handle(exchange).catch((fault: unknown) => {
            onUnexpectedError(fault);
            response.destroy();
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

/** Sends an error response on a connection on which no valid request could be read. */
function refuseConnection(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const cause = connectionFailure(error.code);
    const body = JSON.stringify(errorBody(cause));
    socket.end([
        `HTTP/1.1 ${cause.code.status} ${cause.code.name}`,
        "Content-Type: application/json",
        `Content-Length: ${Buffer.byteLength(body)}`,
        "Connection: close",
        "",
        body,
    ].join("\r\n"));
}

function connectionFailure(code: string | undefined) {
    switch (code) {
        case "HPE_HEADER_OVERFLOW":
            return failure(requestCodes.tooLarge, "the headers exceed their limit");
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return failure(requestCodes.tooSlow, "the request did not arrive in time");
        default:
            return failure(requestCodes.malformed, "the request is not valid HTTP");
    }
}
