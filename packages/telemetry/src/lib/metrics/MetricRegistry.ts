import { type Clock } from "@waxwingspar/utils";
import { Counter } from "./Counter.js";
import { Gauge } from "./Gauge.js";
import { Histogram } from "./Histogram.js";
import { type MetricOptions } from "./Metric.js";

/**
 * The metrics of a process.
 *
 * @example
 * ```ts
 * const registry = new MetricRegistry(clock);
 * const requests = registry.counter({ name: "waxwingspar_requests_total", help: "Requests that ended." });
 * requests.add({ route: "demo" });
 * response.end(registry.render());
 * ```
 * @public
 */
export class MetricRegistry {
    private readonly metrics = new Map<string, Counter | Gauge | Histogram>();

    /** @param clock - Measures the windows of histograms. */
    constructor(private readonly clock: Clock) {}

    /** Creates a counter. A name may be used once. */
    counter(options: MetricOptions): Counter {
        return this.register(new Counter(options));
    }

    /** Creates a gauge. A name may be used once. */
    gauge(options: MetricOptions): Gauge {
        return this.register(new Gauge(options));
    }

    /** Creates a histogram of durations. A name may be used once. */
    histogram(options: MetricOptions): Histogram {
        return this.register(new Histogram(options, this.clock));
    }

    /** Renders all metrics in the Prometheus text format, version 0.0.4. */
    render(): string {
        const lines = [...this.metrics.values()].flatMap(metric => metric.render());
        return `${lines.join("\n")}\n`;
    }

    private register<T extends Counter | Gauge | Histogram>(metric: T): T {
        if (this.metrics.has(metric.name)) {
            throw new Error(`metric ${metric.name} is already registered`);
        }
        this.metrics.set(metric.name, metric);
        return metric;
    }
}
