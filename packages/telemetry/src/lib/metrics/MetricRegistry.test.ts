import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MetricRegistry } from "./MetricRegistry.js";

function valueOf(text: string, series: string): number | undefined {
    const line = text.split("\n").find(candidate => candidate.startsWith(`${series} `));
    return line === undefined ? undefined : Number(line.slice(series.length + 1));
}

test("counters and gauges render with escaped labels", () => {
    const registry = new MetricRegistry(new ManualClock());
    const requests = registry.counter({ name: "requests_total", help: "Requests." });
    requests.add({ route: "a\"b\\c\nd", code: 0 });
    requests.add({ route: "a\"b\\c\nd", code: 0 }, 2);
    registry.gauge({ name: "open", help: "Open." }).observe(() => 7);
    const text = registry.render();
    assert.equal(valueOf(text, "requests_total{route=\"a\\\"b\\\\c\\nd\",code=\"0\"}"), 3);
    assert.equal(valueOf(text, "open"), 7);
    assert.ok(text.includes("# TYPE requests_total counter\n"));
});

test("quantiles are in seconds, with an error of at most 0.01", () => {
    const registry = new MetricRegistry(new ManualClock());
    const latency = registry.histogram({ name: "latency_seconds", help: "Latency." });
    for (let milliseconds = 1; milliseconds <= 1000; milliseconds++) {
        latency.record(milliseconds, { route: "r" });
    }
    const text = registry.render();
    const median = valueOf(text, "latency_seconds{route=\"r\",quantile=\"0.5\"}") ?? 0;
    assert.ok(Math.abs(median - 0.5) <= 0.01, `median ${median}`);
    assert.equal(valueOf(text, "latency_seconds_count{route=\"r\"}"), 1000);
    assert.equal(valueOf(text, "latency_seconds_sum{route=\"r\"}"), 500.5);
});

test("quantiles leave out durations older than two windows, totals do not", () => {
    const clock = new ManualClock();
    const registry = new MetricRegistry(clock);
    const latency = registry.histogram({ name: "latency_seconds", help: "Latency." });
    latency.record(900);
    clock.advance(61_000);
    latency.record(10);
    assert.ok((valueOf(registry.render(), "latency_seconds{quantile=\"0.999\"}") ?? 0) > 0.8);
    clock.advance(61_000);
    assert.ok((valueOf(registry.render(), "latency_seconds{quantile=\"0.999\"}") ?? 1) < 0.02);
    clock.advance(300_000);
    const text = registry.render();
    assert.ok(Number.isNaN(valueOf(text, "latency_seconds{quantile=\"0.5\"}")));
    assert.equal(valueOf(text, "latency_seconds_count"), 2);
});

test("label values beyond the limit share one series", () => {
    const registry = new MetricRegistry(new ManualClock());
    const requests = registry.counter({ name: "requests_total", help: "Requests." });
    for (let index = 0; index < 5000; index++) {
        requests.add({ organisation: `o${index}` });
    }
    const text = registry.render();
    assert.equal(valueOf(text, "requests_total{overflow=\"true\"}"), 3000);
    assert.equal(text.split("\n").filter(line => line.startsWith("requests_total{")).length, 2001);
});
