import { type MetricRegistry } from "@waxwingspar/telemetry";
import { type IncomingMessage, type ServerResponse } from "node:http";

/** Creates the request handler of /metrics. @internal */
export function createMetricsHandler(
    registry: MetricRegistry,
): (message: IncomingMessage, response: ServerResponse) => void {
    return (_message, response) => {
        response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4; charset=utf-8" });
        response.end(registry.render());
    };
}
