import { type FinalOutcome } from "@waxwingspar/claims";
import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { type ErrorBody } from "../http/errorBody.js";
import { TestSite } from "../testing/TestSite.js";

const orders = "/services/records/work-orders";
const keyed = { "Idempotency-Key": "order-7" };

/** Starts an entry whose first request was claimed for target-1, which has left afterwards. */
async function startWithGoneRunner(
    context: TestContext,
    outcome: FinalOutcome,
): Promise<{ site: TestSite; asked: string[]; }> {
    const asked: string[] = [];
    const findFinalOutcome = ({ id }: { id: string; }): Promise<FinalOutcome> => {
        asked.push(id);
        return Promise.resolve(outcome);
    };
    const site = await new TestSite({ findFinalOutcome }).start();
    context.after(() => site.entry.stop());
    const first = site.post(orders, { part: 7 }, keyed);
    await site.agent(0).wait("call");
    site.agent(0).restart("target-1-again");
    await first;
    site.router.withdrawn.add("target-1");
    return { site, asked };
}

async function numberOf(response: Response): Promise<number> {
    return (await response.json() as ErrorBody).error.number;
}

async function failIfAnswered(responding: Promise<Response>): Promise<never> {
    return assert.fail(`answered too early: ${await (await responding).clone().text()}`);
}

test("a duplicate gets the answer that its runner stored before it left", async context => {
    const body = Buffer.from("run 1").toString("base64");
    const reply = { status: 201, headers: { "content-type": "text/plain", "x-part": "7" }, body };
    const { site, asked } = await startWithGoneRunner(context, { kind: "answered", reply });
    const second = await site.post(orders, { part: 7 }, keyed);
    assert.deepEqual([second.status, second.headers.get("x-part"), await second.text()], [201, "7", "run 1"]);
    assert.equal(asked.length, 1);
    assert.equal(site.agents.flatMap(agent => agent.all("call")).length, 1, "nothing was sent");
    const other = await site.post(orders, { part: 8 }, keyed);
    assert.equal(await numberOf(other), requestCodes.keyReused.number, "another request gets no answer of this one");
});

test("a duplicate runs elsewhere when its runner has proved that it did not run", async context => {
    const { site, asked } = await startWithGoneRunner(context, { kind: "notRun" });
    const [first] = site.agent(0).all("call");
    const responding = site.post(orders, { part: 7 }, keyed);
    const moved = await Promise.race([site.agent(1).wait("call"), failIfAnswered(responding)]);
    assert.notEqual(moved.claim, first?.claim);
    assert.deepEqual(asked, [first?.claim]);
    const { request } = moved;
    site.agent(1).send({ type: "reply", request, status: 200, headers: {} });
    const load = site.agent(1).load(false);
    site.agent(1).send({ type: "replyBody", request, data: Buffer.from("run 1"), last: true, load });
    assert.equal(await (await responding).text(), "run 1");
});

test("two concurrent duplicates move a claim once", async context => {
    const { site } = await startWithGoneRunner(context, { kind: "notRun" });
    const responding = [1, 2].map(() => site.post(orders, { part: 7 }, keyed));
    await Promise.race([site.agent(1).wait("call"), ...responding.map(failIfAnswered)]);
    const calls = [await site.agent(1).wait("call"), await site.agent(1).wait("call", 2)];
    assert.equal(calls[0]?.claim, calls[1]?.claim, "both are sent under one claim, which runs once");
    for (const { request } of calls) {
        site.agent(1).send({ type: "reply", request, status: 200, headers: {} });
        const load = site.agent(1).load(false);
        site.agent(1).send({ type: "replyBody", request, data: Buffer.from("run 1"), last: true, load });
    }
    const texts = await Promise.all(responding.map(async response => (await response).text()));
    assert.deepEqual(texts, ["run 1", "run 1"]);
});

test("a duplicate whose runner stored no outcome gets unknown and is not run", async context => {
    const { site } = await startWithGoneRunner(context, { kind: "unknown" });
    assert.equal(await numberOf(await site.post(orders, { part: 7 }, keyed)), requestCodes.outcomeUnknown.number);
    assert.equal(site.agents.flatMap(agent => agent.all("call")).length, 1);
});
