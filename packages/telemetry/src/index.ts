/**
 * Logs, metrics and traces of a process.
 *
 * @packageDocumentation
 */
export { createLogger, type LoggerOptions, type LogLevel, logLevels } from "./lib/logs/createLogger.js";
export { Counter } from "./lib/metrics/Counter.js";
export { Gauge } from "./lib/metrics/Gauge.js";
export { Histogram } from "./lib/metrics/Histogram.js";
export { type Labels, type MetricOptions } from "./lib/metrics/Metric.js";
export { MetricRegistry } from "./lib/metrics/MetricRegistry.js";
export { createTracing, type Tracing, type TracingOptions } from "./lib/traces/createTracing.js";
export { parentContext, traceparentOf } from "./lib/traces/traceContext.js";
