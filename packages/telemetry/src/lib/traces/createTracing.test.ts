import { InMemorySpanExporter } from "@opentelemetry/sdk-trace-base";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTracing } from "./createTracing.js";
import { parentContext, traceparentOf } from "./traceContext.js";

test("spans of several processes belong to one trace", () => {
    const exporter = new InMemorySpanExporter();
    const entry = createTracing({ process: "entry-1", exporter });
    const agent = createTracing({ process: "agent-1", exporter });
    const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const first = entry.tracer.startSpan("entry.request", {}, parentContext(caller));
    const second = agent.tracer.startSpan("agent.stage", {}, parentContext(traceparentOf(first)));
    second.end();
    first.end();
    const [stage, request] = exporter.getFinishedSpans();
    assert.equal(request?.spanContext().traceId, "0af7651916cd43dd8448eb211c80319c");
    assert.equal(request?.parentSpanContext?.spanId, "b7ad6b7169203331");
    assert.equal(stage?.parentSpanContext?.spanId, request?.spanContext().spanId);
});

test("a malformed traceparent starts a new trace", () => {
    const exporter = new InMemorySpanExporter();
    const { tracer } = createTracing({ process: "entry-1", exporter });
    for (const text of ["", "00-zz", "00-00000000000000000000000000000000-b7ad6b7169203331-01", "\r\n"]) {
        tracer.startSpan("entry.request", {}, parentContext(text)).end();
    }
    assert.ok(exporter.getFinishedSpans().every(span => span.parentSpanContext === undefined));
});

test("without endpoint and exporter nothing is traced", async () => {
    const tracing = createTracing({ process: "entry-1" });
    const span = tracing.tracer.startSpan("entry.request");
    assert.equal(span.isRecording(), false);
    assert.equal(traceparentOf(span), undefined);
    await tracing.shutdown();
});
