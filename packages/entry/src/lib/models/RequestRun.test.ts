import { type Message } from "@waxwingspar/transport";
import { failure, requestCodes, type ResultCode } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { type FakeAgent } from "../testing/FakeAgents.js";
import { chatBody, readStream, TestSite, type TestSiteOptions } from "../testing/TestSite.js";

async function startSite(context: TestContext, options?: TestSiteOptions): Promise<TestSite> {
    const site = await new TestSite(options).start();
    context.after(() => site.entry.stop());
    return site;
}

function fail(agent: FakeAgent, open: { request: string; epoch: number; }, code: ResultCode, target?: string): void {
    const { request, epoch } = open;
    agent.send({ type: "failed", request, epoch, failure: { code: code.number, message: code.summary }, target });
}

/** Answers an `open` with all remaining tokens. */
function answerAll(message: Message, agent: FakeAgent): void {
    if (message.type === "open") {
        const { maxTokens } = message.sampling;
        agent.tokens(message, message.produced.length, maxTokens - message.produced.length);
        agent.done(message, maxTokens);
    }
}

test("goes on with the next token when the head dies", async context => {
    const site = await startSite(context);
    site.agent(1).react = answerAll;
    const responding = site.post("/v1/chat/completions", chatBody(6, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 3);
    const response = await responding;
    site.agent(0).cut();
    const second = await site.agent(1).wait("open");
    assert.deepEqual([second.epoch, second.produced], [2, [100, 101, 102]]);
    assert.deepEqual(await readStream(response), { text: " 0 1 2 3 4 5", whole: true, error: undefined });
    assert.deepEqual(site.router.lost, ["target-1"]);
    assert.deepEqual(site.router.ends.map(end => [end.head, end.result]), [["target-1", "failed"], [
        "target-2",
        "completed",
    ]]);
});

test("the text before a stop string is sent once, with the end, also after a lost attempt", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", { ...chatBody(9, true), stop: ["!"] });
    site.agent(0).tokens(await site.agent(0).wait("open"), 0, 2);
    const response = await responding;
    site.agent(0).cut();
    const { request, epoch, produced } = await site.agent(1).wait("open");
    assert.deepEqual(produced, [100, 101]);
    const usage = { promptTokens: 7, cachedTokens: 0, answerTokens: 4 };
    site.agent(1).send({ type: "done", request, epoch, finish: "stop", ...usage, text: " oh" });
    assert.deepEqual(await readStream(response), { text: " 0 1 oh", whole: true, error: undefined });
});

test("names the remaining stages of a failed attempt as exporters", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", chatBody(1));
    const open = await site.agent(0).wait("open");
    fail(site.agent(0), open, requestCodes.stageLost, "target-9");
    const second = await site.agent(0).wait("open", 2);
    assert.deepEqual(second.exporters.map(({ target, epoch }) => [target, epoch]), [["target-1", 1]]);
    answerAll(second, site.agent(0));
    assert.equal((await responding).status, 200);
});

test("a leaving target exports its cache to the next attempt", async context => {
    const site = await startSite(context);
    site.agent(1).react = answerAll;
    const responding = site.post("/v1/chat/completions", chatBody(1));
    const { request, epoch } = await site.agent(0).wait("open");
    const failure = { code: requestCodes.stageLost.number, message: "leaving" };
    const load = site.agent(0).load(true);
    site.agent(0).send({ type: "failed", request, epoch, failure, target: "target-1", exportable: true, load });
    const second = await site.agent(1).wait("open");
    assert.deepEqual(second.exporters.map(exporter => exporter.target), ["target-1"]);
    assert.equal((await responding).status, 200);
});

test("drops tokens of an old epoch", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", chatBody(4, true));
    const first = await site.agent(0).wait("open");
    site.agent(0).tokens(first, 0, 2);
    fail(site.agent(0), first, requestCodes.stageLost, "target-9");
    const second = await site.agent(0).wait("open", 2);
    const { request } = first;
    site.agent(0).send({ type: "tokens", request, epoch: 1, position: 2, ids: [9, 9], texts: ["old", "old"] });
    site.agent(0).done(first, 2);
    fail(site.agent(0), first, requestCodes.engineFailed);
    site.agent(0).tokens(second, 2, 2);
    site.agent(0).done(second, 4);
    assert.deepEqual((await readStream(await responding)).text, " 0 1 2 3");
});

test("takes each position once", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", chatBody(5, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 2);
    site.agent(0).tokens(open, 0, 2);
    site.agent(0).tokens(open, 1, 3);
    site.agent(0).tokens(open, 3, 9);
    site.agent(0).done(open, 5);
    assert.deepEqual((await readStream(await responding)).text, " 0 1 2 3 4");
});

test("starts a new attempt on a gap", async context => {
    const site = await startSite(context);
    site.agent(1).react = answerAll;
    const responding = site.post("/v1/chat/completions", chatBody(5, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 2);
    site.agent(0).tokens(open, 3, 2);
    assert.deepEqual((await readStream(await responding)).text, " 0 1 2 3 4");
    assert.equal((await site.agent(0).wait("cancel")).retain, true);
});

test("does not end an answer before its tokens", async context => {
    const site = await startSite(context);
    site.agent(1).react = answerAll;
    const responding = site.post("/v1/chat/completions", chatBody(3, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 2);
    site.agent(0).done(open, 3);
    assert.deepEqual((await readStream(await responding)).text, " 0 1 2");
});

test("keeps answers on one link apart", async context => {
    const site = await startSite(context);
    const first = site.post("/v1/chat/completions", chatBody(1));
    const firstOpen = await site.agent(0).wait("open");
    const second = site.post("/v1/chat/completions", chatBody(2));
    const secondOpen = await site.agent(0).wait("open", 2);
    site.agent(0).tokens(firstOpen, 0, 1);
    site.agent(0).done(firstOpen, 1);
    assert.match(await (await first).text(), /"content":" 0"/);
    site.agent(0).tokens(firstOpen, 0, 2);
    site.agent(0).done(firstOpen, 2);
    site.agent(0).tokens(secondOpen, 0, 2);
    site.agent(0).done(secondOpen, 2);
    assert.match(await (await second).text(), /"content":" 0 1"/);
});

test("gives up a head that falls silent", async context => {
    const site = await startSite(context, { limits: { tokenTimeout: 500 } });
    site.agent(1).react = answerAll;
    const responding = site.post("/v1/chat/completions", chatBody(3, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 1);
    const response = await responding;
    await site.advance(1000);
    assert.deepEqual((await readStream(response)).text, " 0 1 2");
});

/**
 * Guards against cancelling an attempt whose head pauses for longer than the token timeout while no other target can
 * serve the request: that would end the answer long before the caller's deadline.
 */
test("an answer continues after a pause of its head when no other target can serve it", async context => {
    const site = await startSite(context, { limits: { tokenTimeout: 500 } });
    const responding = site.post("/v1/chat/completions", chatBody(3, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 1);
    const response = await responding;
    site.router.refusal = failure(requestCodes.noCapacity, "no other chain");
    await site.advance(1600);
    assert.deepEqual(site.agent(0).all("cancel"), []);
    site.agent(0).tokens(open, 1, 2);
    site.agent(0).done(open, 3);
    assert.deepEqual((await readStream(response)).text, " 0 1 2");
});

test("an answer continues after a pause of its head when no further attempt is allowed", async context => {
    const site = await startSite(context, { limits: { tokenTimeout: 500, maxAttempts: 1 } });
    const responding = site.post("/v1/chat/completions", chatBody(2, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 1);
    const response = await responding;
    await site.advance(1600);
    site.agent(0).tokens(open, 1, 1);
    site.agent(0).done(open, 2);
    assert.deepEqual((await readStream(response)).text, " 0 1");
});

test("reports a request that may have run as unknown", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", chatBody(3));
    const open = await site.agent(0).wait("open");
    site.agent(1).react = (message, agent) => {
        if (message.type === "open") {
            fail(agent, message, requestCodes.limitReached);
        }
    };
    fail(site.agent(0), open, requestCodes.engineFailed, "target-1");
    const { error } = await (await responding).json() as { error: { number: number; execution: string; }; };
    assert.deepEqual([error.number, error.execution], [requestCodes.engineFailed.number, "unknown"]);
});

test("returns the refusal of the last target immediately", async context => {
    const site = await startSite(context);
    site.agents.forEach(agent => {
        agent.react = (message, self) => message.type === "open" && fail(self, message, requestCodes.limitReached);
    });
    const response = await site.post("/v1/chat/completions", chatBody(3));
    assert.equal(response.status, 429);
    assert.equal(response.headers.get("retry-after"), "1");
    assert.deepEqual(site.history.at(-1), {
        event: "request.ended",
        request: site.agent(0).all("open")[0]?.request,
        outcome: "not run",
        code: requestCodes.limitReached.number,
        tokens: 0,
    });
});

test("hands over from a leaving target without the retry budget", async context => {
    const site = await startSite(context, { emptyBudget: true });
    site.agent(1).react = answerAll;
    const responding = site.post("/v1/chat/completions", chatBody(3, true));
    const { request, epoch } = await site.agent(0).wait("open");
    const failure = { code: requestCodes.stageLost.number, message: "leaving" };
    site.agent(0).send({ type: "failed", request, epoch, failure, target: "target-1", load: site.agent(0).load(true) });
    assert.deepEqual((await readStream(await responding)).text, " 0 1 2");
    assert.equal(site.router.reports[0]?.leaving, true);
});

test("waits for capacity to go on with an answer that has begun", async context => {
    const site = await startSite(context, { emptyBudget: true });
    const responding = site.post("/v1/chat/completions", chatBody(3, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 1);
    const response = await responding;
    let refusals = 0;
    for (const agent of site.agents) {
        agent.react = (message, self) => {
            if (message.type === "open" && refusals++ < 4) {
                fail(self, message, requestCodes.overloaded);
                return;
            }
            answerAll(message, self);
        };
    }
    await site.advance(400);
    site.agent(0).cut();
    await site.advance(2000);
    assert.equal((await readStream(response)).text, " 0 1 2");
    assert.equal(site.agent(1).all("open")[0]?.firstTokenBound, 540);
});

test("retries no more than the budget allows", async context => {
    const site = await startSite(context, { emptyBudget: true });
    const responding = site.post("/v1/chat/completions", chatBody(3));
    fail(site.agent(0), await site.agent(0).wait("open"), requestCodes.stageLost, "target-1");
    assert.equal((await responding).status, 502);
    assert.equal(site.agent(1).received.length, 0);
});

test("ends a request at its deadline", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", chatBody(3), { "X-Request-Timeout": "300" });
    await site.agent(0).wait("open");
    await site.advance(300);
    const { error } = await (await responding).json() as { error: { number: number; }; };
    assert.equal(error.number, requestCodes.deadlineExceeded.number);
    assert.equal((await site.agent(0).wait("cancel")).retain, false);
});

test("ends a stream that cannot be completed with an error and without [DONE]", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", chatBody(3, true), { "X-Request-Timeout": "300" });
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 1);
    const response = await responding;
    await site.advance(300);
    const { text, whole, error } = await readStream(response);
    assert.deepEqual([text, whole, error?.error.number], [" 0", false, requestCodes.deadlineExceeded.number]);
});

test("cancels at the head when the caller goes away", async context => {
    const site = await startSite(context);
    for (const [tokens, count] of [[0, 1], [2, 2]] as const) {
        const caller = new AbortController();
        const responding = site.post("/v1/chat/completions", chatBody(3, true), {}, caller.signal);
        const settled = responding.then(response => response.text()).catch(() => "aborted");
        const open = await site.agent(0).wait("open", count);
        if (tokens > 0) {
            site.agent(0).tokens(open, 0, tokens);
            await responding;
        }
        caller.abort();
        await site.agent(0).wait("cancel", count);
        assert.equal(await settled, "aborted");
        assert.equal(site.entry.openRequests, 0);
        assert.equal(site.router.ends.at(-1)?.result, "cancelled");
    }
});

test("grants no credit to a caller that does not read", async context => {
    const site = await startSite(context, { limits: { creditWindow: 8, writeStallTimeout: 1000 } });
    const caller = new AbortController();
    context.after(() => caller.abort());
    const responding = site.post("/v1/chat/completions", chatBody(100_000, true), {}, caller.signal);
    const open = await site.agent(0).wait("open");
    const { request, epoch } = open;
    assert.equal(open.credit, 8);
    // The response is not read, so the socket buffers fill up and the head runs out of credit.
    let position = 0;
    let granted = open.credit;
    const text = "x".repeat(20_000);
    site.agent(0).react = message => {
        if (message.type === "credit") {
            granted = message.upTo;
        }
    };
    for (let idle = 0; idle < 20;) {
        if (position < granted) {
            site.agent(0).send({ type: "tokens", request, epoch, position, ids: [position], texts: [text] });
            position++;
            idle = 0;
        }
        else {
            idle++;
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    await responding;
    assert.equal(site.entry.openRequests, 1);
    assert.equal(site.agent(0).all("cancel").length, 0);
    // Nothing is read within the stall timeout: the caller is disconnected, and the attempt is cancelled at the head.
    await site.advance(3000);
    await site.agent(0).wait("cancel");
    assert.equal(site.entry.openRequests, 0);
});
