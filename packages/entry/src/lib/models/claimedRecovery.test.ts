import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { TestSite } from "../testing/TestSite.js";

test("a claimed request that has run waits for its head when that refuses to go on", async context => {
    const site = await new TestSite().start();
    context.after(async () => {
        const stopped = site.entry.stop();
        await site.advance(1_000_000);
        await stopped;
    });
    const head = site.agent(0);
    const body = { model: "demo", prompt: "Draft", max_tokens: 2 };
    const responding = site.post("/v1/completions", body, { "Idempotency-Key": "draft-7", "X-Non-Idempotent": "true" });
    const first = await head.wait("open");
    const { request, claim } = first;
    head.tokens(first, 0, 1);
    const lost = { code: requestCodes.stageLost.number, message: "a later stage died" };
    head.send({ type: "failed", request, epoch: 1, failure: lost, target: "target-9" });
    await head.wait("open", 2);
    const refusal = { code: requestCodes.noCapacity.number, message: "a later stage refused" };
    head.send({ type: "failed", request, epoch: 2, failure: refusal, target: head.target });
    await site.advance(5000);
    assert.deepEqual(site.agents.slice(1).flatMap(agent => agent.received), []);
    const third = await head.wait("open", 3);
    assert.deepEqual([third.claim, third.epoch, third.produced], [claim, 3, [100]]);
    head.tokens(third, 1, 1);
    head.done(third, 2);
    const { choices } = await (await responding).json() as { choices: { text: string; }[]; };
    assert.equal(choices[0]?.text, " 0 1");
});
