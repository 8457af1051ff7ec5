import { ProxyTracerProvider, type Tracer } from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
    BasicTracerProvider,
    BatchSpanProcessor,
    ParentBasedSampler,
    SimpleSpanProcessor,
    type SpanExporter,
    type SpanProcessor,
    TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-base";

/**
 * Options of {@link createTracing}.
 *
 * @public
 */
export interface TracingOptions {
    /** The name of the process, as in its settings. */
    readonly process: string;
    /** The endpoint for OTLP over HTTP, such as `http://127.0.0.1:4318/v1/traces`. Without it no spans are sent. */
    readonly endpoint?: string;
    /** Sampling ratio of the traces that begin in this process, from 0 to 1. Default 1. */
    readonly ratio?: number;
    /** Receives every span as it ends, instead of the endpoint, for tests. */
    readonly exporter?: SpanExporter;
}

/**
 * The tracing of a process.
 *
 * @public
 */
export interface Tracing {
    /** Starts spans: one for each hop, never one for each token. */
    readonly tracer: Tracer;
    /** Sends the buffered spans, then stops. */
    shutdown(): Promise<void>;
}

/**
 * Creates the tracing of a process. Without an endpoint and an exporter its spans are not recorded.
 *
 * @public
 */
export function createTracing(options: TracingOptions): Tracing {
    const processor = createProcessor(options);
    if (processor === undefined) {
        const tracer = new ProxyTracerProvider().getTracer("waxwingspar");
        return { tracer, shutdown: () => Promise.resolve() };
    }
    const provider = new BasicTracerProvider({
        resource: resourceFromAttributes({ "service.name": "waxwingspar", "service.instance.id": options.process }),
        sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.ratio ?? 1) }),
        spanProcessors: [processor],
    });
    return { tracer: provider.getTracer("waxwingspar"), shutdown: () => provider.shutdown() };
}

function createProcessor(options: TracingOptions): SpanProcessor | undefined {
    if (options.exporter !== undefined) {
        return new SimpleSpanProcessor(options.exporter);
    }
    if (options.endpoint === undefined) {
        return undefined;
    }
    return new BatchSpanProcessor(new OTLPTraceExporter({ url: options.endpoint }));
}
