import { createSideServer } from "@waxwingspar/connections";
import { type MetricRegistry } from "@waxwingspar/telemetry";
import { type Clock } from "@waxwingspar/utils";
import { type Server } from "node:http";
import { type Address } from "../GatewaySettings.js";

/** Options of {@link MetricsServer}. */
export interface MetricsServerOptions {
    readonly clock: Clock;
    readonly address: Address;
    readonly registry: MetricRegistry;
}

/** Serves the metrics of the process in the Prometheus text format. */
export class MetricsServer {
    private readonly server: Server;

    constructor(private readonly options: MetricsServerOptions) {
        const { clock, registry } = options;
        this.server = createSideServer({
            clock,
            onRequest: (_request, response) => {
                response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
                response.end(registry.render());
            },
        }).http;
    }

    start(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            const { host, port } = this.options.address;
            this.server.listen(port, host, resolve);
        });
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
