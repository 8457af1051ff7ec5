import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { silentObservation } from "../testing/fixtures.js";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { type Configuration } from "./Configuration.js";
import { ConfigurationInForce } from "./ConfigurationInForce.js";
import { createConfigurationWatch } from "./createConfigurationWatch.js";

/** Milliseconds after which a revoked key must be rejected. */
const revocationTime = 5_000;
const maxConfirmationAge = 4_600;
const step = 10;
const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };

function withKeys(version: number, keys: readonly string[]): Configuration {
    return { version, routes: [], services: [], organisations: [{ name: "o", keys: [...keys], priority: 0 }], limits };
}

function createScenario(contactTime = 3_000) {
    const clock = new ManualClock();
    const table = new SimulatedStore(clock);
    const configuration = new ConfigurationInForce({ clock, maxConfirmationAge });
    table.put("c", withKeys(1, ["k"]));
    const watch = createConfigurationWatch({
        clock,
        store: table,
        table: "t",
        key: "c",
        decode: document => document as Configuration,
        configuration,
        observation: silentObservation(clock),
        contactTime,
        onChange: () => undefined,
    });
    void watch.run();
    const route = { isPublic: false } as Parameters<ConfigurationInForce["judgeCredential"]>[0];
    const isAccepted = () => configuration.judgeCredential(route, "k").kind === "accepted";
    return { clock, table, configuration, isAccepted };
}

test("without changes the confirmation is never older than one wait and its reply", async () => {
    const { clock, configuration } = createScenario();
    await clock.advanceAsync(1_000);
    let oldest = 0;
    for (let time = 0; time < 10_000; time += step) {
        await clock.advanceAsync(step);
        oldest = Math.max(oldest, configuration.confirmationAge);
    }
    assert.ok(oldest <= 1_700 + 3 * step, `${oldest}`);
});

for (const contactTime of [3_000, 5_000]) {
    test(`keys stay valid for at least 1.5 s after the store becomes unavailable, contact time ${contactTime}`, async () => {
        for (let outageAt = 5_000; outageAt < 9_000; outageAt += 250) {
            const { clock, table, isAccepted } = createScenario(contactTime);
            await clock.advanceAsync(outageAt);
            table.setDown(true);
            await clock.advanceAsync(1_500);
            assert.ok(isAccepted(), `outage at ${outageAt}`);
        }
    });

    test(`keys stay valid when connections go silent, contact time ${contactTime}`, async () => {
        for (let silentAt = 5_000; silentAt < 9_000; silentAt += 250) {
            const { clock, table, isAccepted } = createScenario(contactTime);
            await clock.advanceAsync(silentAt);
            table.silenceConnections();
            for (let time = 0; time < 8_000; time += 100) {
                await clock.advanceAsync(100);
                assert.ok(isAccepted(), `silent at ${silentAt}, refused ${time} ms later`);
            }
        }
    });

    test(`a key revoked right after connections go silent or the store becomes unavailable is rejected, contact time ${contactTime}`, async () => {
        for (const cut of ["silenceConnections", "setDown"] as const) {
            for (let cutAt = 5_000; cutAt < 9_000; cutAt += 250) {
                const { clock, table, isAccepted } = createScenario(contactTime);
                await clock.advanceAsync(cutAt);
                table[cut](true);
                table.put("c", withKeys(2, []));
                await clock.advanceAsync(revocationTime);
                assert.ok(!isAccepted(), `${cut} at ${cutAt}`);
            }
        }
    });

    test(`a change is in force within the contact time after connections went silent, contact time ${contactTime}`, async () => {
        for (let silentAt = 5_000; silentAt < 9_000; silentAt += 250) {
            const { clock, table, configuration } = createScenario(contactTime);
            await clock.advanceAsync(silentAt);
            table.silenceConnections();
            table.put("c", withKeys(2, ["k"]));
            await clock.advanceAsync(contactTime);
            assert.equal(configuration.current?.version, 2, `silent at ${silentAt}`);
        }
    });
}
