import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs } from "../testing/fixtures.js";
import { CallerLinkMonitor } from "./CallerLinkMonitor.js";

function createWatch() {
    const clock = new ManualClock();
    const registry = new MetricRegistry(clock);
    const watch = new CallerLinkMonitor({
        clock,
        observation: { logs: silentLogs(), metrics: new GatewayMetrics(registry) },
    });
    const congestionCount = () => /slow_links_total (\d+)/.exec(registry.render())?.[1] ?? "0";
    return { clock, watch, timesFull: congestionCount };
}

test("one answer that is delayed repeatedly does not mean a congested link", () => {
    const { watch, timesFull } = createWatch();
    Array.from({ length: 20 }).forEach(() => watch.recordWait("a", 900));
    assert.equal(timesFull(), "0");
});

test("several answers delayed at the same time mean a congested link, reported once", () => {
    const { watch, timesFull } = createWatch();
    ["a", "b", "c", "d", "a"].forEach(request => watch.recordWait(request, 300));
    assert.equal(timesFull(), "1");
});

test("a link that has recovered is reported again when it is congested", () => {
    const { clock, watch, timesFull } = createWatch();
    ["a", "b", "c"].forEach(request => watch.recordWait(request, 300));
    clock.advance(2_500);
    watch.recordWait("d", 1);
    ["a", "b", "c"].forEach(request => watch.recordWait(request, 300));
    assert.equal(timesFull(), "2");
});

test("answers delayed seconds apart do not add up", () => {
    const { clock, watch, timesFull } = createWatch();
    for (const request of ["a", "b", "c"]) {
        watch.recordWait(request, 300);
        clock.advance(2_100);
    }
    assert.equal(timesFull(), "0");
});
