import { type Resource } from "@waxwingspar/config";
import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { type FakeAgent } from "../testing/FakeAgents.js";
import { chatBody, modelResource, pinnedTarget, readStream, TestSite } from "../testing/TestSite.js";

/** Starts a site whose model is rolled out from version 1 to 2, with the given versions pinned on every target. */
async function startSite(context: TestContext, served: readonly string[]): Promise<TestSite> {
    const resources = (agents: readonly FakeAgent[]): Resource[] => [
        modelResource({ versions: ["1", "2"], current: "2", replicas: 9 }),
        ...agents.map(agent => pinnedTarget(agent, served)),
    ];
    const site = await new TestSite({ resources }).start();
    context.after(() => site.entry.stop());
    return site;
}

function lose(agent: FakeAgent, { request, epoch }: { request: string; epoch: number; }): void {
    const { number: code, summary: message } = requestCodes.stageLost;
    agent.send({ type: "failed", request, epoch, failure: { code, message }, target: "target-9" });
}

test("requests go to the old version while the new one has no pipeline", async context => {
    const site = await startSite(context, ["1"]);
    const responding = site.post("/v1/chat/completions", chatBody(1));
    const open = await site.agent(0).wait("open");
    assert.equal(open.version, "1");
    site.agent(0).tokens(open, 0, 1);
    site.agent(0).done(open, 1);
    assert.equal((await responding).status, 200);
});

test("a request that has delivered tokens keeps its version when the last chain of that version is lost", async context => {
    const site = await startSite(context, ["1"]);
    const responding = site.post("/v1/chat/completions", chatBody(4, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 2);
    const response = await responding;
    site.router.versions = ["2"];
    lose(site.agent(0), open);
    await site.advance(300);
    assert.deepEqual(site.agents.flatMap(agent => agent.all("open")).map(({ version }) => version), ["1"]);
    site.router.versions = ["1", "2"];
    await site.advance(2000);
    const again = site.agents.flatMap(agent => agent.all("open")).at(-1);
    assert.deepEqual([again?.version, again?.epoch, again?.produced.length], ["1", 2, 2]);
    const resumed = site.agents.find(agent => agent.all("open").some(({ epoch }) => epoch === 2));
    assert.ok(again !== undefined && resumed !== undefined);
    resumed.tokens(again, 2, 2);
    resumed.done(again, 4);
    assert.deepEqual(await readStream(response), { text: " 0 1 2 3", whole: true, error: undefined });
});

test("a request that has delivered nothing may change its version, without the old KV caches", async context => {
    const site = await startSite(context, ["1"]);
    const responding = site.post("/v1/chat/completions", chatBody(1));
    const open = await site.agent(0).wait("open");
    site.router.versions = ["2"];
    lose(site.agent(0), open);
    await site.advance(10);
    const again = await site.agent(0).wait("open", 2);
    assert.deepEqual([again.version, again.epoch, again.exporters], ["2", 2, []]);
    site.agent(0).tokens(again, 0, 1);
    site.agent(0).done(again, 1);
    assert.equal((await responding).status, 200);
});

test("a claimed request that may have run is not retried with another version", async context => {
    const site = await startSite(context, ["1"]);
    const headers = { "Idempotency-Key": "order-1", "X-Non-Idempotent": "true" };
    const responding = site.post("/v1/chat/completions", chatBody(1), headers);
    const open = await site.agent(0).wait("open");
    assert.notEqual(open.claim, undefined);
    site.router.versions = ["2"];
    lose(site.agent(0), open);
    await site.advance(60_000);
    assert.notEqual((await responding).status, 200);
    assert.deepEqual(site.agents.flatMap(agent => agent.all("open")).map(({ version }) => version), ["1"]);
});
