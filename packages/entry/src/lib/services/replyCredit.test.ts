import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { type FakeAgent } from "../testing/FakeAgents.js";
import { TestSite, type TestSiteOptions } from "../testing/TestSite.js";

const size = 40 * 1024 * 1024;
const window = 262_144;

async function startSite(context: TestContext, limits: TestSiteOptions["limits"]): Promise<TestSite> {
    const site = await new TestSite({ limits }).start();
    context.after(() => site.entry.stop());
    return site;
}

/** Answers a call as fast as its credit allows. */
class CreditedAnswer {
    sent = 0;

    constructor(agent: FakeAgent, private readonly size: number) {
        agent.react = message => {
            switch (message.type) {
                case "call":
                    agent.send({ type: "reply", request: message.request, status: 200, headers: {}, credited: true });
                    return this.send(agent, message.request, message.credit ?? this.size);
                case "replyCredit":
                    return this.send(agent, message.request, message.upTo);
                default:
            }
        };
    }

    private send(agent: FakeAgent, request: string, upTo: number): void {
        while (this.sent < Math.min(upTo, this.size)) {
            const data = Buffer.alloc(Math.min(65_536, upTo - this.sent, this.size - this.sent), 7);
            this.sent += data.length;
            agent.send({ type: "replyBody", request, data, last: this.sent === this.size });
        }
    }
}

test("a slow caller gets a complete large answer, of which little is buffered", async context => {
    // A caller is disconnected beyond this limit, so a complete answer proves that it was never exceeded.
    const site = await startSite(context, { replyWindow: window, maxReplyBuffer: window + 16_384 });
    const answer = new CreditedAnswer(site.agent(0), size);
    const response = await site.fetch("/services/records/samples");
    let read = 0;
    for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
        read += chunk.length;
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.deepEqual([read, answer.sent], [size, size]);
    const grants = site.agent(0).all("replyCredit").map(({ upTo }) => upTo);
    assert.ok(grants.every((upTo, index) => upTo - (grants[index - 1] ?? window) >= window / 2));
});

test("a window smaller than the socket buffer does not stall an answer", async context => {
    const site = await startSite(context, { replyWindow: 1000 });
    const answer = new CreditedAnswer(site.agent(0), 100_000);
    const response = await site.fetch("/services/records/samples");
    assert.deepEqual([(await response.arrayBuffer()).byteLength, answer.sent], [100_000, 100_000]);
});

test("grants nothing to a caller that reads nothing, and disconnects it", async context => {
    const site = await startSite(context, { replyWindow: window });
    const answer = new CreditedAnswer(site.agent(0), size);
    const response = await site.fetch("/services/records/samples");
    for (let turn = 0; turn < 10_000 && site.agent(0).all("callCancel").length === 0; turn++) {
        site.clock.advance(100);
        await new Promise(resolve => setImmediate(resolve));
    }
    await site.agent(0).wait("callCancel");
    assert.ok(answer.sent < size, `${answer.sent} sent`);
    assert.equal(site.entry.openRequests, 0);
    await assert.rejects(response.arrayBuffer());
});

test("sends no grants to an agent that does not support credit", async context => {
    const site = await startSite(context, { replyWindow: 1000 });
    const responding = site.fetch("/services/records/samples");
    const { request, credit } = await site.agent(0).wait("call");
    assert.equal(credit, 1000);
    site.agent(0).send({ type: "reply", request, status: 200, headers: {} });
    site.agent(0).send({ type: "replyBody", request, data: Buffer.alloc(100_000), last: false });
    site.agent(0).send({ type: "replyBody", request, data: Buffer.alloc(0), last: true });
    assert.equal((await (await responding).arrayBuffer()).byteLength, 100_000);
    assert.deepEqual(site.agent(0).all("replyCredit"), []);
});
