import { type MetricRegistry } from "@waxwingspar/telemetry";
import { type Address } from "@waxwingspar/transport";
import { failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { Result } from "true-myth";

/**
 * Answers a request, or leaves it to others by returning false.
 *
 * @internal
 */
export type OperatorsRoute = (request: IncomingMessage, response: ServerResponse) => boolean | Promise<boolean>;

/** @internal */
export interface OperatorsServerOptions {
    /** Where operators connect. */
    readonly listen: Address;
    readonly registry: MetricRegistry;
    /** Whether the process does its work. */
    readonly ready: () => boolean;
    /** Answers every other path, such as the resource API. */
    readonly route?: OperatorsRoute;
}

/** Milliseconds for a whole request of an operator to arrive. */
const requestTimeout = 30_000;
const maxHeaderSize = 16_384;

/**
 * The operators' endpoint of a process: /metrics, /healthz, /readyz, and what else it is given.
 *
 * @internal
 */
export class OperatorsServer {
    private readonly server: Server;

    constructor(private readonly options: OperatorsServerOptions) {
        this.server = createServer({ requestTimeout, maxHeaderSize }, (request, response) => {
            void this.serve(request, response);
        });
    }

    /** Starts to listen. @returns The address, or why it cannot be used. */
    listen(): Promise<Outcome<Address>> {
        const { host, port } = this.options.listen;
        return new Promise(resolve => {
            this.server.once("error", error => {
                resolve(Result.err(failure(transportCodes.notConnected, `${host}:${port}: ${error.message}`)));
            });
            this.server.listen(port, host, () => {
                resolve(Result.ok({ host, port: (this.server.address() as AddressInfo).port }));
            });
        });
    }

    async close(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.server.closeAllConnections();
        await closed;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { pathname } = new URL(request.url ?? "/", "http://operators");
        switch (pathname) {
            case "/metrics":
                return this.sendMetrics(response);
            case "/healthz":
                return sendJson(response, 200, { healthy: true });
            case "/readyz":
                return this.sendReadiness(response);
        }
        if (await this.options.route?.(request, response) !== true) {
            sendJson(response, 404, { error: "no such path" });
        }
    }

    private sendMetrics(response: ServerResponse): void {
        response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4; charset=utf-8" });
        response.end(this.options.registry.render());
    }

    private sendReadiness(response: ServerResponse): void {
        const ready = this.options.ready();
        sendJson(response, ready ? 200 : 503, { ready });
    }
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(body));
}
