import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { type ErrorBody } from "../http/errorBody.js";
import { type FakeAgent, type MessageOf } from "../testing/FakeAgents.js";
import { FakeClaims } from "../testing/FakeClaims.js";
import { TestSite, type TestSiteOptions } from "../testing/TestSite.js";

const orders = "/services/records/work-orders";
const keyed = { "Idempotency-Key": "order-7" };

async function startSite(context: TestContext, options?: TestSiteOptions): Promise<TestSite> {
    const site = await new TestSite(options).start();
    context.after(() => site.entry.stop());
    return site;
}

function reply(agent: FakeAgent, { request }: { request: string; }, text: string): void {
    agent.send({ type: "reply", request, status: 201, headers: { "content-type": "text/plain", "keep-alive": "1" } });
    agent.send({ type: "replyBody", request, data: Buffer.from(text), last: true, load: agent.load(false) });
}

function refuse(agent: FakeAgent, { request }: MessageOf<"call">, code: { number: number; }): void {
    agent.send({ type: "callFailed", request, failure: { code: code.number, message: "refused" } });
}

async function errorOf(response: Response): Promise<ErrorBody["error"]> {
    return (await response.json() as ErrorBody).error;
}

test("forwards a call and its answer", async context => {
    const site = await startSite(context);
    const responding = site.fetch("/services/records/parts?kind=mast", {
        headers: { "X-Part": "7", Connection: "x-part" },
    });
    const call = await site.agent(0).wait("call");
    assert.deepEqual([call.method, call.path, call.claim, call.timeLeft], [
        "GET",
        "/parts?kind=mast",
        undefined,
        10_000,
    ]);
    assert.equal(call.headers["authorization"], undefined);
    reply(site.agent(0), call, "seven");
    const response = await responding;
    assert.deepEqual([response.status, await response.text()], [201, "seven"]);
    assert.equal(response.headers.get("content-type"), "text/plain");
});

test("repeated headers of one name stay separate", async context => {
    const site = await startSite(context);
    const responding = site.fetch("/services/records/parts");
    const { request } = await site.agent(0).wait("call");
    const cookies = ["a=1", "b=2; Expires=Wed, 02 Dec 2026 10:00:00 GMT"];
    site.agent(0).send({ type: "reply", request, status: 200, headers: { "set-cookie": cookies } });
    const data = Buffer.alloc(0);
    site.agent(0).send({ type: "replyBody", request, data, last: true, load: site.agent(0).load(false) });
    assert.deepEqual((await responding).headers.getSetCookie(), cookies);
});

// Guards against a process that ends, or a call that does, after an agent has passed on a head that cannot be written.
test("a service's head that cannot be written is a lost answer", async context => {
    const site = await startSite(context);
    const odd = (status: number, headers: Record<string, string> = {}) => ({ status, headers });
    for (const head of [odd(0), odd(101), odd(200, { "a b": "1" }), odd(200, { a: "\u0000" })]) {
        const count = site.agent(0).all("call").length + 1;
        const responding = site.fetch("/services/records/parts");
        const { request } = await site.agent(0).wait("call", count);
        site.agent(0).send({ type: "reply", request, ...head });
        reply(site.agent(1), await site.agent(1).wait("call", count), "seven");
        assert.equal(await (await responding).text(), "seven");
    }
});

test("retries an idempotent call that was lost", async context => {
    const site = await startSite(context);
    const responding = site.fetch("/services/records/parts");
    await site.agent(0).wait("call");
    site.agent(0).cut();
    reply(site.agent(1), await site.agent(1).wait("call"), "seven");
    assert.equal(await (await responding).text(), "seven");
});

test("an answer that has begun is not mixed with another", async context => {
    const site = await startSite(context);
    const responding = site.fetch("/services/records/parts");
    const { request } = await site.agent(0).wait("call");
    site.agent(0).send({ type: "reply", request, status: 200, headers: { "content-length": "9" } });
    site.agent(0).send({ type: "replyBody", request, data: Buffer.from("half"), last: false });
    const response = await responding;
    site.agent(0).cut();
    await assert.rejects(response.text());
    assert.equal(site.agent(1).received.length, 0);
});

test("sends a call that is not idempotent to the claim's runner only", async context => {
    const site = await startSite(context);
    const responding = site.post(orders, { part: 7 }, keyed);
    const call = await site.agent(0).wait("call");
    assert.notEqual(call.claim, undefined);
    site.agent(0).cut();
    const error = await errorOf(await responding);
    assert.deepEqual([error.number, error.execution], [requestCodes.outcomeUnknown.number, "unknown"]);
    assert.equal(error.retry_after_ms, undefined);
    assert.equal(site.agent(1).received.length, 0);
});

test("an unknown outcome of the runner is final", async context => {
    const site = await startSite(context);
    const responding = site.post(orders, { part: 7 }, keyed);
    refuse(site.agent(0), await site.agent(0).wait("call"), requestCodes.engineFailed);
    assert.equal((await errorOf(await responding)).number, requestCodes.outcomeUnknown.number);
    assert.equal(site.agent(1).received.length, 0);
});

test("moves the claim when its runner refuses", async context => {
    const site = await startSite(context);
    const responding = site.post(orders, { part: 7 }, keyed);
    const first = await site.agent(0).wait("call");
    refuse(site.agent(0), first, requestCodes.stopping);
    const second = await site.agent(1).wait("call");
    assert.notEqual(second.claim, first.claim);
    reply(site.agent(1), second, "run 1");
    assert.equal(await (await responding).text(), "run 1");
});

test("a duplicate at another entry reaches the same runner", async context => {
    const claims = new FakeClaims();
    const site = await startSite(context, { claims });
    const other = await startSite(context, { claims, agents: [...site.agents].reverse() });
    const first = site.post(orders, { part: 7 }, keyed);
    const firstCall = await site.agent(0).wait("call");
    const second = other.post(orders, { part: 7 }, keyed);
    const secondCall = await site.agent(0).wait("call", 2);
    assert.equal(secondCall.claim, firstCall.claim);
    reply(site.agent(0), firstCall, "run 1");
    reply(site.agent(0), secondCall, "run 1");
    assert.deepEqual([await (await first).text(), await (await second).text()], ["run 1", "run 1"]);
    assert.equal(site.agent(2).received.length, 0);
});

test("a duplicate joins a model request on a target that is leaving", async context => {
    const claims = new FakeClaims();
    const site = await startSite(context, { claims });
    const other = await startSite(context, { claims, agents: site.agents });
    const body = { model: "demo", prompt: "Draft", max_tokens: 1 };
    const headers = { ...keyed, "X-Non-Idempotent": "true" };
    const first = site.post("/v1/completions", body, headers);
    const firstOpen = await site.agent(0).wait("open");
    other.router.withdrawn.add("target-1");
    const second = other.post("/v1/completions", body, headers);
    const secondOpen = await site.agent(0).wait("open", 2);
    assert.deepEqual([secondOpen.claim, secondOpen.stages[0]?.target], [firstOpen.claim, "target-1"]);
    for (const open of [firstOpen, secondOpen]) {
        site.agent(0).tokens(open, 0, 1);
        site.agent(0).done(open, 1);
    }
    assert.deepEqual([(await first).status, (await second).status], [200, 200]);
    assert.equal(site.agent(1).received.length, 0);
});

test("a duplicate whose runner is gone is told so at once", async context => {
    const claims = new FakeClaims();
    const site = await startSite(context, { claims });
    const other = await startSite(context, { claims, agents: [...site.agents].reverse() });
    const first = site.post(orders, { part: 7 }, keyed);
    await site.agent(0).wait("call");
    site.agent(0).restart("target-1-again");
    assert.equal((await errorOf(await first)).number, requestCodes.outcomeUnknown.number);
    for (const entry of [site, other]) {
        const error = await errorOf(await entry.post(orders, { part: 7 }, keyed));
        assert.equal(error.number, requestCodes.outcomeUnknown.number);
    }
    assert.equal(site.agent(0).all("call").length, 1);
    assert.equal(site.agent(2).received.length, 0);
});

test("another request under the same key is refused", async context => {
    const site = await startSite(context);
    const first = site.post(orders, { part: 7 }, keyed);
    reply(site.agent(0), await site.agent(0).wait("call"), "run 1");
    await first;
    const second = await site.post(orders, { part: 8 }, keyed);
    assert.deepEqual([second.status, (await errorOf(second)).number], [422, requestCodes.keyReused.number]);
});

test("without a claim nothing runs", async context => {
    const site = await startSite(context);
    site.claims.available = false;
    const response = await site.post(orders, { part: 7 }, keyed);
    const error = await errorOf(response);
    assert.deepEqual([error.number, error.execution], [requestCodes.claimUnavailable.number, "not run"]);
    assert.equal(response.headers.get("retry-after"), "1");
    assert.equal(site.agents.every(agent => agent.received.length === 0), true);
});

test("a refusal of an earlier duplicate does not apply to a later one", async context => {
    const site = await startSite(context);
    const first = site.post(orders, { part: 7 }, keyed);
    refuse(site.agent(0), await site.agent(0).wait("call"), requestCodes.limitReached);
    assert.equal((await first).status, 429);
    const second = site.post(orders, { part: 7 }, keyed);
    const repeated = await site.agent(0).wait("call", 2);
    refuse(site.agent(0), repeated, requestCodes.limitReached);
    const moved = await site.agent(0).wait("call", 3);
    assert.notEqual(moved.claim, repeated.claim);
    reply(site.agent(0), moved, "run 1");
    assert.equal(await (await second).text(), "run 1");
});

test("a caller that reads nothing of a large answer is disconnected to free its memory", async context => {
    const site = await startSite(context, { limits: { maxReplyBuffer: 4_000_000 } });
    const responding = site.fetch("/services/records/samples");
    const { request } = await site.agent(0).wait("call");
    site.agent(0).send({ type: "reply", request, status: 200, headers: {} });
    const response = await responding;
    for (let pieces = 0; pieces < 400 && site.agent(0).all("callCancel").length === 0; pieces++) {
        site.agent(0).send({ type: "replyBody", request, data: Buffer.alloc(65_536), last: false });
        await new Promise(resolve => setImmediate(resolve));
    }
    await site.agent(0).wait("callCancel");
    assert.equal(site.entry.openRequests, 0);
    await assert.rejects(response.arrayBuffer());
});

test("cancels the call at the target when the caller disconnects", async context => {
    const site = await startSite(context);
    const caller = new AbortController();
    const responding = site.fetch("/services/records/parts", { signal: caller.signal }).catch(() => "aborted");
    await site.agent(0).wait("call");
    caller.abort();
    await site.agent(0).wait("callCancel");
    assert.equal(await responding, "aborted");
    assert.equal(site.entry.openRequests, 0);
});

test("a model request that is not idempotent keeps its head", async context => {
    const site = await startSite(context);
    const body = { model: "demo", prompt: "Draft", max_tokens: 2 };
    const responding = site.post("/v1/completions", body, { ...keyed, "X-Non-Idempotent": "true" });
    const { request, claim } = await site.agent(0).wait("open");
    const failure = { code: requestCodes.stageLost.number, message: "a later stage died" };
    site.agent(0).send({ type: "failed", request, epoch: 1, failure, target: "target-9" });
    const second = await site.agent(0).wait("open", 2);
    assert.deepEqual([second.claim, second.epoch], [claim, 2]);
    site.agent(0).cut();
    assert.equal((await errorOf(await responding)).number, requestCodes.outcomeUnknown.number);
    assert.equal(site.agent(1).received.length, 0);
});
