import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs } from "../testing/fixtures.js";
import { StoreContact } from "./StoreContact.js";

function createContact(): StoreContact {
    const metrics = new GatewayMetrics(new MetricRegistry(new ManualClock()));
    return new StoreContact({ metrics, logs: silentLogs() });
}

test("the store counts as reachable until a call fails, and again once calls for all tables succeed", () => {
    const contact = createContact();
    const first = contact.listenersFor("a");
    const second = contact.listenersFor("b");
    assert.equal(contact.isWhole, true);
    first.onLost("timeout", 700);
    second.onLost("timeout", 700);
    first.onRegained(900, 900);
    assert.equal(contact.isWhole, false);
    second.onRegained(900, 900);
    assert.equal(contact.isWhole, true);
});
