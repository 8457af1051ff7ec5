import { type Context, isSpanContextValid, ROOT_CONTEXT, type Span, trace } from "@opentelemetry/api";

const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/**
 * Returns the context of a W3C `traceparent`, for a span that continues its trace.
 *
 * @returns The root context when the text is absent or malformed.
 * @public
 */
export function parentContext(traceparent: string | undefined): Context {
    const [, traceId, spanId, flags] = traceparentPattern.exec(traceparent ?? "") ?? [];
    if (traceId === undefined || spanId === undefined || flags === undefined) {
        return ROOT_CONTEXT;
    }
    const remote = { traceId, spanId, traceFlags: Number.parseInt(flags, 16), isRemote: true };
    return isSpanContextValid(remote) ? trace.setSpanContext(ROOT_CONTEXT, remote) : ROOT_CONTEXT;
}

/**
 * Returns the `traceparent` that passes a span on to the next hop.
 *
 * @returns Undefined if the span has no valid context, as when tracing is disabled.
 * @public
 */
export function traceparentOf(span: Span): string | undefined {
    const spanContext = span.spanContext();
    if (!isSpanContextValid(spanContext)) {
        return undefined;
    }
    const flags = spanContext.traceFlags.toString(16).padStart(2, "0");
    return `00-${spanContext.traceId}-${spanContext.spanId}-${flags}`;
}
