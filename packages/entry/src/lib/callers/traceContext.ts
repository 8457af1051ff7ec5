import { type Context, context, isSpanContextValid, type Span, trace } from "@opentelemetry/api";

const pattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/** The context of a W3C `traceparent` header; the current one when it is absent or malformed. @internal */
export function contextOf(traceparent: string | undefined): Context {
    const [, traceId, spanId, flags] = pattern.exec(traceparent ?? "") ?? [];
    if (traceId === undefined || spanId === undefined || flags === undefined) {
        return context.active();
    }
    const remote = { traceId, spanId, traceFlags: parseInt(flags, 16), isRemote: true };
    return isSpanContextValid(remote) ? trace.setSpanContext(context.active(), remote) : context.active();
}

/** The `traceparent` to send on from a span, or undefined when nothing is traced. @internal */
export function traceparentOf(span: Span): string | undefined {
    const spanContext = span.spanContext();
    if (!isSpanContextValid(spanContext)) {
        return undefined;
    }
    const flags = spanContext.traceFlags.toString(16).padStart(2, "0");
    return `00-${spanContext.traceId}-${spanContext.spanId}-${flags}`;
}
