import { type MetricRegistry } from "@waxwingspar/telemetry";
import { createServer, type Server } from "node:http";
import { type Address } from "../GatewaySettings.js";

/** Serves the metrics of the process in the Prometheus text format. */
export class MetricsServer {
    private readonly server: Server;

    constructor(private readonly address: Address, registry: MetricRegistry) {
        this.server = createServer((_request, response) => {
            response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
            response.end(registry.render());
        });
    }

    start(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.address.port, this.address.host, resolve);
        });
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
