import { MetricRegistry } from "@waxwingspar/telemetry";
import { StallingClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LoopMonitor } from "./LoopMonitor.js";
import { GatewayMetrics } from "./Observation.js";

function createMonitor() {
    const clock = new StallingClock();
    const monitor = new LoopMonitor({ clock, metrics: new GatewayMetrics(new MetricRegistry(clock)) });
    monitor.start();
    return { clock, monitor };
}

test("input is fresh while ticks are in time", async () => {
    const { clock, monitor } = createMonitor();
    await clock.advanceAsync(1_000);
    assert.equal(monitor.inputAge, 0);
    assert.equal(monitor.longestDelay, 0);
    monitor.stop();
});

test("what is read within a turn that stands still, and right after it, may be as old as the standstill", async () => {
    const { clock, monitor } = createMonitor();
    await clock.advanceAsync(150);
    clock.stall(800);
    assert.equal(monitor.inputAge, 750);
    await clock.advanceAsync(50);
    assert.equal(monitor.inputAge, 800);
    assert.equal(monitor.longestDelay, 800);
    await clock.advanceAsync(900);
    assert.equal(monitor.inputAge, 0);
    monitor.stop();
});
