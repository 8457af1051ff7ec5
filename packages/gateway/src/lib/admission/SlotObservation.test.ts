import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs } from "../testing/fixtures.js";
import { SlotObservation } from "./SlotObservation.js";
import { type SlotDecision, type SlotRequest } from "./SlotRequest.js";

test("held and refused requests are logged with their inputs, others only counted", () => {
    const registry = new MetricRegistry(new ManualClock());
    const lines: Record<string, unknown>[] = [];
    const limits = pino({}, { write: line => lines.push(JSON.parse(line) as Record<string, unknown>) });
    const logs = { ...silentLogs(), limits };
    const observation = new SlotObservation({ logs, metrics: new GatewayMetrics(registry) });
    const request: SlotRequest = {
        id: "r",
        heads: ["a"],
        rank: 120,
        organisation: "o",
        kind: "k",
        precedence: "waiting",
        maxHold: 62,
        timeLeft: 20_000,
        digest: "d",
    };
    const decisions: SlotDecision[] = [
        { kind: "granted", head: "a", held: 0 },
        { kind: "granted", head: "a", held: 20 },
        { kind: "refused", reason: "full", retryAfter: 700, held: 0 },
    ];
    decisions.forEach(decision => observation.record(request, decision, { decidedBy: "issuer", loadAge: 12 }));
    assert.deepEqual(
        lines.map(({ msg, held, retryAfter, reason, loadAge }) => [msg, held, retryAfter, reason, loadAge]),
        [["slot granted after a hold", 20, undefined, undefined, 12], ["slot refused", 0, 700, "full", 12]],
    );
    const text = registry.render();
    assert.match(text, /slot_granted_total\{rank="99"\} 2/);
    assert.match(text, /slot_held_total\{rank="99",decision="granted"\} 1/);
    assert.match(text, /slot_refused_total\{reason="full",rank="99"\} 1/);
});
