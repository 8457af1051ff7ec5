import { type Context, ROOT_CONTEXT, type Span, trace, TraceFlags } from "@opentelemetry/api";

const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/** The context of the span that a message names as its parent. @internal */
export function contextOf(traceparent: string | undefined): Context {
    const match = traceparent === undefined ? undefined : traceparentPattern.exec(traceparent) ?? undefined;
    const [, traceId, spanId, flags] = match ?? [];
    if (traceId === undefined || spanId === undefined || flags === undefined) {
        return ROOT_CONTEXT;
    }
    const traceFlags = Number.parseInt(flags, 16) & TraceFlags.SAMPLED;
    return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags, isRemote: true });
}

/** What the next hop is told as its parent; without a tracer that is the parent of this hop. @internal */
export function traceparentOf(span: Span): string | undefined {
    const { traceId, spanId, traceFlags } = span.spanContext();
    return /^0+$/.test(traceId) ? undefined : `00-${traceId}-${spanId}-0${traceFlags & TraceFlags.SAMPLED}`;
}
