import { resource, specSchemas, StaticConfiguration } from "@waxwingspar/config";
import { createRetryBudgets } from "@waxwingspar/policy";
import { ManualClock, requestCodes, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { Entry } from "./Entry.js";
import { type ErrorBody } from "./http/errorBody.js";
import { FakeLinkPool } from "./testing/FakeAgents.js";
import { FakeClaims } from "./testing/FakeClaims.js";
import { FakeRouter } from "./testing/FakeRouter.js";

test("before the configuration is known a caller is told to come back, not that it is forbidden", async t => {
    const clock = new ManualClock();
    const configuration = new StaticConfiguration();
    const entry = new Entry({
        listen: { host: "127.0.0.1", port: 0 },
        links: new FakeLinkPool([]),
        configuration,
        router: new FakeRouter([]),
        retryBudgets: createRetryBudgets({ clock, random: seededRandom(1) }),
        claims: new FakeClaims(),
        clock,
        logger: pino({ level: "silent" }),
        anonymousOrganisation: "workshop",
        limits: { stopLead: 0 },
    });
    const address = await entry.start();
    assert.ok(address.isOk);
    t.after(() => entry.stop());
    const url = `http://127.0.0.1:${address.value.port}/v1/completions`;
    const ask = async (): Promise<ErrorBody["error"]> => {
        const body = JSON.stringify({ model: "demo", prompt: "?" });
        const response = await fetch(url, { method: "POST", body });
        return (await response.json() as ErrorBody).error;
    };
    const { number, execution, retry_after_ms: retryAfter } = await ask();
    assert.deepEqual([number, execution], [requestCodes.noCapacity.number, "not run"]);
    assert.ok(retryAfter !== undefined);
    configuration.set([resource("organisation", "workshop", specSchemas.organisation.parse({}))]);
    assert.equal((await ask()).number, requestCodes.noSuchRoute.number);
});
