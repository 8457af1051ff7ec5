import { resource } from "@waxwingspar/config";
import { createOrganisationLimits } from "@waxwingspar/policy";
import { ManualClock, requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { type ErrorBody } from "./http/errorBody.js";
import { type FakeAgent } from "./testing/FakeAgents.js";
import { FakeClaims } from "./testing/FakeClaims.js";
import { chatBody, TestSite, type TestSiteOptions } from "./testing/TestSite.js";

const orders = "/services/records/work-orders";
const parts = "/services/records/parts";
const keyed = { "Idempotency-Key": "order-7" };

/** A site whose organisation has limits. */
async function startLimited(context: TestContext, spec: object, options: TestSiteOptions = {}): Promise<TestSite> {
    const resources = () => [resource("organisation", "ports", { priority: 5, share: 1, ...spec })];
    const site = await new TestSite({ resources, ...options }).start();
    context.after(() => site.entry.stop());
    return site;
}

async function errorOf(response: Response): Promise<ErrorBody["error"]> {
    return (await response.json() as ErrorBody).error;
}

function reply(agent: FakeAgent, { request }: { request: string; }): void {
    agent.send({ type: "reply", request, status: 200, headers: {} });
    agent.send({ type: "replyBody", request, data: Buffer.from("run"), last: true, load: agent.load(false) });
}

test("a rate limit covers models and calls together and is enforced before any work", async context => {
    const site = await startLimited(context, { requestsPerSecond: 1 });
    const calling = site.fetch(parts);
    reply(site.agent(0), await site.agent(0).wait("call"));
    assert.equal((await calling).status, 200);
    const responses = [await site.fetch(parts), await site.post("/v1/chat/completions", chatBody(3))];
    for (const response of responses) {
        const { number, execution, retry_after_ms: retryAfter } = await errorOf(response);
        assert.deepEqual([response.status, number, execution], [429, requestCodes.limitReached.number, "not run"]);
        assert.equal(retryAfter, 1000);
    }
    assert.equal(site.agents.reduce((sum, agent) => sum + agent.received.length, 0), 1);
    await site.advance(1000);
    const again = site.fetch(parts);
    reply(site.agent(0), await site.agent(0).wait("call", 2));
    assert.equal((await again).status, 200);
});

test("every way in which a request ends releases it from the in-flight limit", async context => {
    const site = await startLimited(context, { maxInFlight: 1 });
    const first = site.fetch(parts);
    const call = await site.agent(0).wait("call");
    assert.equal((await site.fetch(parts)).status, 429);
    reply(site.agent(0), call);
    assert.equal((await first).status, 200);

    const refused = site.fetch(parts);
    const { request } = await site.agent(0).wait("call", 2);
    site.agent(0).send({
        type: "callFailed",
        request,
        failure: { code: requestCodes.forbidden.number, message: "no" },
    });
    assert.equal((await refused).status, 403);

    const abort = new AbortController();
    const cancelled = site.fetch(parts, { signal: abort.signal });
    await site.agent(0).wait("call", 3);
    abort.abort();
    await assert.rejects(cancelled);
    await site.agent(0).wait("callCancel");

    const lost = site.post(orders, {}, keyed);
    await site.agent(0).wait("call", 4);
    site.agent(0).cut();
    assert.equal((await errorOf(await lost)).number, requestCodes.outcomeUnknown.number);

    const malformed = await site.post("/v1/chat/completions", { model: "demo" });
    assert.equal((await errorOf(malformed)).number, requestCodes.malformed.number);

    const last = site.fetch(parts);
    reply(site.agent(0), await site.agent(0).wait("call", 5));
    assert.equal((await last).status, 200);
});

test("a limit does not report a duplicate of a running request as not run", async context => {
    const clock = new ManualClock();
    const claims = new FakeClaims();
    const limitsOf = (index: number) => createOrganisationLimits({ clock, part: () => ({ index, count: 2 }) });
    const spec = { requestsPerSecond: 1 };
    const first = await startLimited(context, spec, { clock, claims, organisationLimits: limitsOf(0) });
    const { agents } = first;
    const second = await startLimited(context, spec, { clock, claims, agents, organisationLimits: limitsOf(1) });
    const running = first.post(orders, {}, keyed);
    const call = await first.agent(0).wait("call");
    const other = second.fetch(parts);
    reply(first.agent(0), await first.agent(0).wait("call", 2));
    assert.equal((await other).status, 200);
    const duplicate = await second.post(orders, {}, keyed);
    const { number, execution } = await errorOf(duplicate);
    assert.deepEqual([duplicate.status, number, execution], [429, requestCodes.limitReachedWithKey.number, "unknown"]);
    assert.equal(duplicate.headers.get("retry-after"), "2");
    reply(first.agent(0), call);
    assert.equal((await running).status, 200);
});

test("the failed requests of one organisation do not use up the retries of another", async context => {
    const site = await startLimited(context, {}, { anonymousOrganisation: "depots" });
    site.agent(0).react = (message, agent) => {
        if (message.type === "call") {
            const { request } = message;
            agent.send({
                type: "callFailed",
                request,
                failure: { code: requestCodes.engineFailed.number, message: "" },
            });
        }
    };
    site.agents.slice(1).forEach(agent => {
        agent.react = (message, self) => message.type === "call" && reply(self, message);
    });
    const statuses: number[] = [];
    for (let i = 0; i < 40; i++) {
        statuses.push((await fetch(`http://127.0.0.1:${site.port}${parts}`)).status);
    }
    assert.deepEqual([statuses[0], statuses.at(-1)], [200, 502]);
    assert.equal((await site.fetch(parts)).status, 200);
});
