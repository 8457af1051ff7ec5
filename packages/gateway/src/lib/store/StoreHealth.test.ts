import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs } from "../testing/fixtures.js";
import { StoreHealth } from "./StoreHealth.js";

function createHealth(): StoreHealth {
    const metrics = new GatewayMetrics(new MetricRegistry(new ManualClock()));
    return new StoreHealth({ metrics, logs: silentLogs() });
}

test("the store counts as reachable until a call fails, and again once calls for all tables succeed", () => {
    const health = createHealth();
    const first = health.createListeners("a");
    const second = health.createListeners("b");
    assert.equal(health.isHealthy, true);
    first.onLost("timeout", 700);
    second.onLost("timeout", 700);
    first.onRegained(900, 900);
    assert.equal(health.isHealthy, false);
    second.onRegained(900, 900);
    assert.equal(health.isHealthy, true);
});
