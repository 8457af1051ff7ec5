import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, type Server as Listener } from "node:net";
import { type CallerLimits } from "../configuration/Configuration.js";
import { type Address } from "../GatewaySettings.js";

/** A request with its whole body. */
export interface ReceivedRequest {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer | undefined;
}

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
    readonly address: Address;
    /** A server that listens at the address already, whose connections this one takes over. */
    readonly listening?: Listener;
    readonly onRequest: (request: ReceivedRequest) => void;
    readonly onTooLarge: (response: ServerResponse) => void;
    readonly maxBodyBytes: () => number;
}

/** Larger headers are refused by Node with status 431. Operators set limits below this. */
const maxHeaderBytes = 65_536;
/** Callers reuse a connection that is idle for up to four fifths of the limit; it is kept a little longer than that. */
const idleSlack = 1_000;
/** How often Node looks for callers that are too slow with their headers, in milliseconds. */
const checkInterval = 1_000;

/** Takes callers' requests over HTTP, each with its whole body. */
export class CallerServer {
    private readonly server: Server;
    private isStopping = false;
    private open = 0;

    constructor(private readonly options: CallerServerOptions) {
        const settings = { maxHeaderSize: maxHeaderBytes, noDelay: true, connectionsCheckingInterval: checkInterval };
        this.server = createServer(settings, (incoming, response) => this.receive(incoming, response));
        this.server.requestTimeout = 0;
    }

    /** Requests that have not ended. */
    get openRequests(): number {
        return this.open;
    }

    start(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            const { address, listening } = this.options;
            if (listening === undefined) {
                this.server.listen(address.port, address.host, resolve);
            }
            else {
                this.server.listen(listening, resolve);
            }
        });
    }

    /** Where it listens. */
    get address(): AddressInfo {
        return this.server.address() as AddressInfo;
    }

    /** Applies what the operators declare for callers. */
    applyLimits({ headerTimeout, idleTimeout }: CallerLimits): void {
        this.server.headersTimeout = headerTimeout;
        this.server.keepAliveTimeout = idleTimeout + idleSlack;
    }

    /** From now on every answer ends its connection, so that callers move to other processes. */
    stopKeepingConnections(): void {
        this.isStopping = true;
    }

    /** Stops listening. Connections that are open stay so until they are idle. */
    close(): void {
        this.server.close();
    }

    /** Closes connections on which no request is open, such as those whose answer began before the stop. */
    closeIdle(): void {
        this.server.closeIdleConnections();
    }

    /** Closes whatever is left. */
    closeAll(): void {
        this.server.closeAllConnections();
    }

    private receive(incoming: IncomingMessage, response: ServerResponse): void {
        this.open++;
        response.once("close", () => this.open--);
        if (this.isStopping) {
            response.shouldKeepAlive = false;
        }
        const chunks: Buffer[] = [];
        let bytes = 0;
        let isRefused = false;
        incoming.on("error", () => response.destroy());
        incoming.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (isRefused) {
                return;
            }
            if (bytes > this.options.maxBodyBytes()) {
                isRefused = true;
                response.shouldKeepAlive = false;
                this.options.onTooLarge(response);
                return;
            }
            chunks.push(chunk);
        });
        incoming.once("end", () => {
            if (!isRefused && incoming.complete) {
                this.options.onRequest({ incoming, response, body: joinBody(incoming, chunks) });
            }
        });
    }
}

/** @returns Undefined for a request that was sent without a body. */
function joinBody(incoming: IncomingMessage, chunks: readonly Buffer[]): Buffer | undefined {
    const hasBody = incoming.headers["content-length"] !== undefined
        || incoming.headers["transfer-encoding"] !== undefined;
    return hasBody ? Buffer.concat(chunks) : undefined;
}
