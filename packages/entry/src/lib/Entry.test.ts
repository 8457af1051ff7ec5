import { requestCodes, type ResultCode } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { connect } from "node:net";
import test, { type TestContext } from "node:test";
import { type ErrorBody } from "./http/errorBody.js";
import { callerToken, chatBody, readStream, TestSite, type TestSiteOptions } from "./testing/TestSite.js";

async function startSite(context: TestContext, options?: TestSiteOptions): Promise<TestSite> {
    const site = await new TestSite(options).start();
    context.after(() => site.entry.stop());
    return site;
}

async function assertRefused(response: Response, code: ResultCode): Promise<ErrorBody["error"]> {
    const { error } = await response.json() as ErrorBody;
    assert.equal(error.number, code.number, error.message);
    assert.equal(error.code, code.name);
    assert.equal(error.execution, code.execution);
    assert.equal(response.headers.get("retry-after") !== null, code.retry === "later");
    return error;
}

test("streams an answer", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", {
        ...chatBody(4, true),
        stream_options: { include_usage: true },
    });
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 3);
    site.agent(0).tokens(open, 3, 1);
    site.agent(0).done(open, 4);
    const response = await responding;
    const stream = await readStream(response.clone());
    assert.equal(response.status, 200);
    assert.deepEqual([stream.text, stream.whole], [" 0 1 2 3", true]);
    assert.match(await response.text(), /"prompt_tokens":7,"completion_tokens":4,"total_tokens":11/);
});

test("returns an answer that is not streamed as one response", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/completions", { model: "demo:polite", prompt: "Hello", max_tokens: 2 });
    const open = await site.agent(0).wait("open");
    assert.deepEqual([open.prompt, open.adapter, open.sampling.maxTokens], ["Hello", "polite", 2]);
    site.agent(0).tokens(open, 0, 2);
    site.agent(0).done(open, 2);
    const body = await (await responding).json() as { choices: unknown[]; usage: { completion_tokens: number; }; };
    assert.deepEqual(body.choices, [{ index: 0, text: " 0 1", logprobs: null, finish_reason: "length" }]);
    assert.equal(body.usage.completion_tokens, 2);
});

test("gives every refusal its result code", async context => {
    const site = await startSite(context, { limits: { maxBodyBytes: 500 } });
    const noKey = { "X-Non-Idempotent": "true" };
    const cases: readonly [string, Promise<Response>, ResultCode, number, string?][] = [
        ["no token", site.post("/v1/completions", {}, { Authorization: "" }), requestCodes.unauthenticated, 401],
        [
            "bad token",
            site.post("/v1/completions", {}, { Authorization: "Bearer x" }),
            requestCodes.unauthenticated,
            401,
        ],
        ["not JSON", site.fetch("/v1/completions", { method: "POST", body: "{" }), requestCodes.malformed, 400],
        ["no prompt", site.post("/v1/completions", { model: "demo" }), requestCodes.malformed, 400, "prompt"],
        ["two answers", site.post("/v1/chat/completions", { ...chatBody(1), n: 2 }), requestCodes.malformed, 400, "n"],
        ["no model", site.post("/v1/completions", { model: "x", prompt: "" }), requestCodes.noSuchRoute, 404, "model"],
        ["no adapter", site.post("/v1/completions", { model: "demo:x", prompt: "" }), requestCodes.noSuchRoute, 404],
        ["no path", site.fetch("/v2/models"), requestCodes.noSuchRoute, 404],
        ["wrong method", site.fetch("/v1/completions"), requestCodes.noSuchRoute, 405],
        ["no service", site.fetch("/services/x/"), requestCodes.noSuchRoute, 404],
        ["large body", site.post("/v1/completions", { prompt: "x".repeat(600) }), requestCodes.tooLarge, 413],
        ["no key", site.post("/v1/chat/completions", chatBody(1), noKey), requestCodes.keyMissing, 400],
        ["no key for a rule", site.post("/services/records/work-orders", {}), requestCodes.keyMissing, 400],
        [
            "bad priority",
            site.post("/v1/chat/completions", chatBody(1), { "X-Priority": "10" }),
            requestCodes.malformed,
            400,
        ],
    ];
    for (const [name, responding, code, status, path] of cases) {
        const response = await responding;
        const error = await assertRefused(response, code);
        assert.equal(response.status, status, name);
        assert.equal(path === undefined || error.param === path, true, name);
    }
    assert.equal(site.agents.every(agent => agent.received.length === 0), true);
    // The requests run concurrently, so their order is not fixed.
    assert.deepEqual(site.ended.toSorted(), cases.map(([, , code]) => code.number).toSorted());
});

test("sends Retry-After when there is no capacity", async context => {
    const site = await startSite(context);
    site.agents.forEach(agent => {
        agent.reachable = false;
    });
    const response = await site.post("/v1/chat/completions", chatBody(1));
    const error = await assertRefused(response, requestCodes.noCapacity);
    assert.equal(response.headers.get("retry-after"), "2");
    assert.equal(error.retry_after_ms, 1500);
});

test("an organisation cannot use a model that it is not allowed to use", async context => {
    const site = await startSite(context, { anonymousOrganisation: "depots" });
    const response = await fetch(`http://127.0.0.1:${site.port}/v1/completions`, {
        method: "POST",
        body: JSON.stringify({ model: "demo", prompt: "Hello" }),
    });
    await assertRefused(response, requestCodes.forbidden);
    const models = await fetch(`http://127.0.0.1:${site.port}/v1/models`);
    assert.deepEqual((await models.json() as { data: unknown[]; }).data, []);
});

test("priority, deadline and trace reach the head", async context => {
    const site = await startSite(context);
    const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const headers = { "X-Priority": "3", "X-Request-Timeout": "4000", "X-Request-Id": "mine", traceparent };
    const responding = site.post("/v1/chat/completions", chatBody(1), headers);
    const open = await site.agent(0).wait("open");
    assert.deepEqual([open.priority, open.timeLeft, open.traceparent], [3, 4000, traceparent]);
    site.agent(0).tokens(open, 0, 1);
    site.agent(0).done(open, 1);
    assert.equal((await responding).headers.get("x-request-id"), "mine");
    const higher = site.post("/v1/chat/completions", chatBody(1), { "X-Priority": "9" });
    const second = await site.agent(0).wait("open", 2);
    assert.equal(second.priority, 5);
    site.agent(0).tokens(second, 0, 1);
    site.agent(0).done(second, 1);
    await higher;
});

test("refuses broken HTTP with a number", async context => {
    const site = await startSite(context, { limits: { maxHeaderBytes: 2000 } });
    const malformed = await raw(site.port, "NONSENSE\r\n\r\n");
    assert.match(malformed, /^HTTP\/1.1 400 [^]*"number":1000/);
    const large = await raw(site.port, `GET / HTTP/1.1\r\nHost: x\r\nX-Long: ${"x".repeat(3000)}\r\n\r\n`);
    assert.match(large, /^HTTP\/1.1 413 [^]*"number":1004/);
    const smuggled = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    const both = await raw(site.port, `POST /v1/completions HTTP/1.1\r\nHost: x\r\n${smuggled}`);
    assert.match(both, /^HTTP\/1.1 400 [^]*"number":1000/);
});

test("limits requests in progress", async context => {
    const site = await startSite(context, { limits: { maxOpenRequests: 1 } });
    const first = site.post("/v1/chat/completions", chatBody(1));
    const open = await site.agent(0).wait("open");
    await assertRefused(await site.post("/v1/chat/completions", chatBody(1)), requestCodes.overloaded);
    site.agent(0).tokens(open, 0, 1);
    site.agent(0).done(open, 1);
    assert.equal((await first).status, 200);
});

test("limits requests in progress on one connection", async context => {
    const site = await startSite(context, { limits: { maxOpenPerConnection: 2 } });
    const body = JSON.stringify(chatBody(1));
    const request = `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${callerToken}\r\n`
        + `Content-Length: ${body.length}\r\n\r\n${body}`;
    const answering = raw(site.port, request.repeat(3));
    await site.agent(0).wait("open", 2);
    for (const open of site.agent(0).all("open")) {
        site.agent(0).tokens(open, 0, 1);
        site.agent(0).done(open, 1);
    }
    const answers = await answering;
    assert.equal(answers.match(/HTTP\/1.1 200/g)?.length, 2);
    assert.equal(answers.match(/HTTP\/1.1 503/g)?.length, 1);
});

test("stops without cutting off an answer", async context => {
    const site = await startSite(context);
    const responding = site.post("/v1/chat/completions", chatBody(2, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 1);
    const stopping = site.entry.stop();
    const response = await responding;
    await assert.rejects(site.post("/v1/chat/completions", chatBody(1)));
    site.agent(0).tokens(open, 1, 1);
    site.agent(0).done(open, 2);
    assert.deepEqual(await readStream(response), { text: " 0 1", whole: true, error: undefined });
    assert.equal(await stopping, 0);
    assert.deepEqual(site.history.at(-1), { event: "process.stopped", interrupted: 0 });
});

test("tells the balancer before it stops accepting", async context => {
    const site = await startSite(context, { limits: { stopLead: 1000 } });
    assert.equal((await site.fetch("/readyz")).status, 200);
    const stopping = site.entry.stop();
    const ready = await site.fetch("/readyz");
    assert.deepEqual([ready.status, ready.headers.get("connection")], [503, "close"]);
    const late = site.post("/v1/chat/completions", chatBody(1));
    const open = await site.agent(0).wait("open");
    await site.advance(1000);
    await assert.rejects(site.fetch("/readyz"));
    site.agent(0).tokens(open, 0, 1);
    site.agent(0).done(open, 1);
    assert.equal((await late).status, 200);
    assert.equal(await stopping, 0);
});

test("counts what the hard limit of a stop cuts off", async context => {
    const site = await startSite(context, {
        limits: { stopLimit: 5000, tokenTimeout: 60_000, firstTokenTimeout: 60_000 },
    });
    const responding = site.post("/v1/chat/completions", chatBody(2, true));
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 1);
    const response = await responding;
    const stopping = site.entry.stop();
    await site.advance(5000);
    assert.equal(await stopping, 1);
    const stream = await readStream(response);
    assert.deepEqual([stream.text, stream.whole], [" 0", false]);
    assert.equal(site.agent(0).all("cancel").length, 1);
});

test("frames a stream so that the connection can be used again", async context => {
    const site = await startSite(context);
    site.agent(0).react = (message, agent) => {
        if (message.type === "open") {
            const { request, epoch } = message;
            agent.send({ type: "tokens", request, epoch, position: 0, ids: [1, 2], texts: ["ä", "漢字 🙂"] });
            agent.done(message, 2);
        }
    };
    const body = JSON.stringify(chatBody(2, true));
    const request = `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${callerToken}\r\n`
        + `Content-Length: ${body.length}\r\n`;
    const answers = await raw(site.port, `${request}\r\n${body}${request}Connection: close\r\n\r\n${body}`);
    assert.equal(answers.match(/HTTP\/1.1 200/g)?.length, 2);
    assert.equal(answers.match(/漢字 🙂[^]*?\[DONE\]\n\n\r\n0\r\n\r\n/g)?.length, 2);
    for (const [, size = "", piece = ""] of answers.matchAll(/\r\n([0-9a-f]+)\r\n(data: [^]*?\n\n)\r\n/g)) {
        assert.equal(Buffer.byteLength(piece), parseInt(size, 16));
    }
    const old = await raw(site.port, `${request.replace("HTTP/1.1", "HTTP/1.0")}\r\n${body}`);
    assert.match(old, /\r\n\r\ndata: [^]*漢字 🙂[^]*\[DONE\]\n\n$/);
});

/** Sends bytes on a new connection and returns everything received until it closes. */
function raw(port: number, bytes: string): Promise<string> {
    return new Promise((resolve, reject) => {
        let received = "";
        const socket = connect(port, "127.0.0.1", () => socket.write(bytes));
        socket.on("data", data => {
            received += data.toString();
        });
        socket.on("error", reject);
        socket.on("close", () => resolve(received));
    });
}
