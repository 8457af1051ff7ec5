import { type ReadableSpan, type SpanExporter } from "@opentelemetry/sdk-trace-base";
import { entryLimitsSchema } from "@waxwingspar/entry";
import { GatewayMetrics } from "@waxwingspar/gateway";
import { createLogger, createTracing, MetricRegistry } from "@waxwingspar/telemetry";
import { seededRandom, SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test, type TestContext } from "node:test";
import { LocalSite } from "./LocalSite.js";

const loopback = { host: "127.0.0.1", port: 0 };
const traceId = "0af7651916cd43dd8448eb211c80319c";
const traceparent = `00-${traceId}-b7ad6b7169203331-01`;

async function startSite(t: TestContext) {
    const spans: ReadableSpan[] = [];
    const exporter: SpanExporter = {
        export: (batch, done) => {
            spans.push(...batch);
            done({ code: 0 });
        },
        shutdown: () => Promise.resolve(),
    };
    const site = new LocalSite({
        callers: loopback,
        operators: loopback,
        clock: new SystemClock(),
        random: seededRandom(3),
        logger: createLogger({ process: "local", level: "silent" }),
        stepTime: 1,
        tracing: createTracing({ process: "local", exporter }),
    });
    const started = await site.start();
    assert.ok(started.isOk, started.isErr ? started.error.message : "");
    t.after(() => site.stop());
    const { callers, operators } = started.value;
    const complete = async (maxTokens: number): Promise<void> => {
        const body = JSON.stringify({ model: "demo", prompt: "Which seal?", max_tokens: maxTokens });
        const headers = { "Content-Type": "application/json", traceparent };
        const response = await fetch(`http://127.0.0.1:${callers.port}/v1/completions`, {
            method: "POST",
            body,
            headers,
        });
        assert.equal(response.status, 200, await response.text());
    };
    return { site, spans, complete, operators: `http://127.0.0.1:${operators.port}` };
}

/** Returns one text for each child of a span: its name, followed by those of the spans below it. */
function describeChildren(spans: readonly ReadableSpan[], parent: ReadableSpan): string[] {
    return spans
        .filter(span => span.parentSpanContext?.spanId === parent.spanContext().spanId)
        .map(span => [span.name, ...describeChildren(spans, span)].join(" "))
        .sort();
}

// A head refuses an attempt that it cannot start in time, as in a starved process, and the request then completes with
// a second attempt. Each attempt is a hop of its own, so they are counted one by one.
test("a request has one span per hop in its caller's trace, regardless of its number of tokens", async t => {
    const { site, spans, complete } = await startSite(t);
    await complete(5);
    await complete(30);
    await site.stop();
    assert.deepEqual([...new Set(spans.map(span => span.spanContext().traceId))], [traceId]);
    const requests = spans.filter(span => span.name === "entry.request");
    assert.equal(requests.length, 2);
    let counted = requests.length;
    for (const request of requests) {
        const attempts = spans.filter(span => span.parentSpanContext?.spanId === request.spanContext().spanId);
        assert.ok(attempts.every(attempt => attempt.name === "entry.attempt"));
        const results = attempts.map(attempt => attempt.attributes["waxwingspar.result"]);
        assert.deepEqual(results.filter(result => result !== "refused"), ["completed"]);
        assert.ok(attempts.length <= entryLimitsSchema.parse({}).maxAttempts);
        for (const attempt of attempts) {
            const below = describeChildren(spans, attempt);
            const isRefused = attempt.attributes["waxwingspar.result"] === "refused";
            const whole = "agent.head agent.stage agent.stage";
            const shapes = isRefused ? ["", "agent.head", "agent.head agent.stage", whole] : [whole];
            assert.ok(shapes.includes(below.join()), below.join());
            counted += 1 + below.join(" ").split(" ").filter(name => name !== "").length;
        }
    }
    assert.equal(spans.length, counted);
});

test("docs/METRICS.md lists exactly the metrics of a site and a gateway", async t => {
    const { complete, operators } = await startSite(t);
    await complete(5);
    const gateway = new MetricRegistry(new SystemClock());
    new GatewayMetrics(gateway);
    const text = await (await fetch(`${operators}/metrics`)).text() + gateway.render();
    const served = [...text.matchAll(/^# TYPE (\w+) (\w+)$/gm)].map(([, name = "", type = ""]) => `${name} ${type}`);
    const page = readFileSync(new URL("../../../../../docs/METRICS.md", import.meta.url), "utf8");
    const listed = [...page.matchAll(/^\| `(waxwingspar_\w+)` \| (\w+) \|/gm)].map(([, name, type]) =>
        `${name} ${type}`
    );
    assert.deepEqual(listed.sort(), served.sort());
});
