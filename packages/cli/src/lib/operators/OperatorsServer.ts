import { createSideServer, type GuardedServer, ServerStop } from "@waxwingspar/connections";
import { type MetricRegistry } from "@waxwingspar/telemetry";
import { type Address } from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { Result } from "true-myth";
import { createMetricsHandler } from "./createMetricsHandler.js";

/** Milliseconds in which the server closes, whatever its clients do. */
const closeTime = 1_000;

/** @internal */
export interface OperatorsServerOptions {
    /** Where operators connect. */
    readonly listen: Address;
    readonly clock: Clock;
    readonly registry: MetricRegistry;
    /** Whether the process is ready to serve. */
    readonly ready: () => boolean;
}

/**
 * The operators' endpoint of a process without the resource API: /metrics, /healthz and /readyz.
 *
 * @internal
 */
export class OperatorsServer {
    private readonly server: GuardedServer;
    private readonly stopping: ServerStop;
    private readonly sendMetrics: (message: IncomingMessage, response: ServerResponse) => void;

    constructor(private readonly options: OperatorsServerOptions) {
        this.sendMetrics = createMetricsHandler(options.registry);
        this.server = createSideServer({
            clock: options.clock,
            onRequest: (request, response) => this.serve(request, response),
        });
        this.stopping = new ServerStop({ clock: options.clock, server: this.server });
    }

    /** Starts to listen. @returns The address, or the reason why the server cannot listen on it. */
    listen(): Promise<Outcome<Address>> {
        const { host, port } = this.options.listen;
        const { http } = this.server;
        return new Promise(resolve => {
            http.once("error", error => {
                resolve(Result.err(failure(transportCodes.notConnected, `${host}:${port}: ${error.message}`)));
            });
            http.listen(port, host, () => {
                resolve(Result.ok({ host, port: (http.address() as AddressInfo).port }));
            });
        });
    }

    /** Stops listening, and closes all connections once whatever has been received is answered. */
    close(): Promise<void> {
        return this.stopping.run({ limit: closeTime, endAll: () => undefined });
    }

    private serve(request: IncomingMessage, response: ServerResponse): void {
        const path = (request.url ?? "/").split("?")[0];
        switch (path) {
            case "/metrics":
                return this.sendMetrics(request, response);
            case "/healthz":
                return sendJson(response, 200, { healthy: true });
            case "/readyz":
                return this.sendReadiness(response);
            default:
                return sendJson(response, 404, { error: "no such path" });
        }
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
