import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { flushTime } from "./http/CallerServer.js";
import { type ErrorBody } from "./http/errorBody.js";
import { type MessageOf } from "./testing/FakeAgents.js";
import { type RawAnswer, RawCaller, settle } from "./testing/RawCaller.js";
import { callerToken, TestSite, type TestSiteOptions } from "./testing/TestSite.js";

const limits = { stopLead: 1_000, stopLimit: 3_000, maxOpenPerConnection: 3 };
/** The steps of the test's clock are longer than those of the event loop. */
const slack = 500;
const stopTime = limits.stopLead + limits.stopLimit + slack;

/** An entry whose calls run until the test answers them. */
async function startSite(context: TestContext, options: TestSiteOptions["limits"] = {}) {
    const site = await new TestSite({ limits: { ...limits, ...options } }).start();
    const callers: RawCaller[] = [];
    context.after(async () => {
        callers.forEach(({ socket }) => socket.destroy());
        const stopped = site.entry.stop();
        await site.advance(stopTime);
        await stopped;
    });
    const connect = () => {
        const caller = new RawCaller(site.port);
        callers.push(caller);
        return caller;
    };
    return { site, agent: site.agent(0), connect };
}

/** @param name - The request's id and path. */
function request(name: string, body = ""): string {
    return [
        `POST /services/records/${name} HTTP/1.1`,
        "Host: x",
        `Authorization: Bearer ${callerToken}`,
        `X-Request-Id: ${name}`,
        `Content-Length: ${body.length}`,
        "",
        body,
    ].join("\r\n");
}

function sendHead(site: TestSite, { request }: MessageOf<"call">): void {
    site.agent(0).send({ type: "reply", request, status: 200, headers: {} });
}

function sendEnd(site: TestSite, { request, path }: MessageOf<"call">): void {
    const load = site.agent(0).load(false);
    site.agent(0).send({ type: "replyBody", request, data: Buffer.from(path), last: true, load });
}

function summary({ id, status, closes }: RawAnswer): string {
    return `${id} ${status} ${closes ? "close" : "keep"}`;
}

function execution({ body }: RawAnswer): string {
    return (JSON.parse(body) as ErrorBody).error.execution;
}

test("requests sent ahead of a stop's answers get theirs before the close", async context => {
    const { site, agent, connect } = await startSite(context);
    const caller = connect();
    caller.send(request("a"));
    const first = await agent.wait("call");
    void site.entry.stop();
    caller.send(request("b") + request("c"));
    const last = await agent.wait("call", 3);
    for (const call of [last, first, ...agent.all("call").slice(1, 2)]) {
        sendHead(site, call);
        sendEnd(site, call);
        await settle();
    }
    assert.deepEqual(caller.answers.map(summary).map(text => text.slice(0, 5)), ["a 200", "b 200", "c 200"]);
});

test("the answer to a request whose head was read before the stop tells that its connection closes", async context => {
    const { site, agent, connect } = await startSite(context);
    const caller = connect();
    const text = request("a", "body");
    caller.send(text.slice(0, -1));
    await settle();
    void site.entry.stop();
    caller.send(text.slice(-1));
    const call = await agent.wait("call");
    sendHead(site, call);
    sendEnd(site, call);
    await settle();
    assert.deepEqual(caller.answers.map(summary), ["a 200 close"]);
});

test("a request that lies in its socket when the entry stops accepting is refused, not cut off", async context => {
    const { site, connect } = await startSite(context, { stopLead: 0 });
    const caller = connect();
    caller.send("GET /healthz HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\n\r\n");
    await settle();
    caller.send(request("b"));
    const stopped = site.entry.stop();
    await settle();
    assert.deepEqual(caller.answers.map(summary), ["a 200 keep", "b 503 close"]);
    await site.advance(stopTime);
    assert.equal(await stopped, 0);
});

test("the stop's limit answers what runs, and refuses what has not begun", async context => {
    const { site, agent, connect } = await startSite(context);
    const [running, reading, ahead] = [connect(), connect(), connect()];
    running.send(request("run"));
    reading.send(request("read", "body").slice(0, -1));
    ahead.send(["a", "b", "c", "d"].map(name => request(name)).join(""));
    await agent.wait("call", 4);
    const stopped = site.entry.stop();
    await site.advance(stopTime);
    assert.equal(await stopped, 5);
    await settle();
    assert.deepEqual([running, reading, ahead].map(({ answers }) => answers.map(execution)), [
        ["unknown"],
        ["not run"],
        ["unknown", "unknown", "unknown", "not run"],
    ]);
});

test("a request that waits between two attempts when the limit passes is refused as not run", async context => {
    const { site, connect } = await startSite(context, { stopLead: 0, stopLimit: flushTime });
    const caller = connect();
    caller.send(request("a"));
    for (const agent of [site.agent(0), site.agent(1)]) {
        const { request } = await agent.wait("call");
        agent.send({
            type: "callFailed",
            request,
            failure: { code: requestCodes.stopping.number, message: "refused" },
        });
    }
    void site.entry.stop();
    site.clock.advance(0);
    await settle();
    assert.deepEqual(caller.answers.map(execution), ["not run"]);
});

test("no request runs behind the refusal that closes its connection", async context => {
    const { site, agent, connect } = await startSite(context);
    const caller = connect();
    caller.send(["a", "b", "c", "d"].map(name => request(name)).join(""));
    await agent.wait("call", 3);
    const answer = async (call: MessageOf<"call">) => {
        sendHead(site, call);
        sendEnd(site, call);
        await settle();
    };
    const [a, b, c] = agent.all("call") as [MessageOf<"call">, MessageOf<"call">, MessageOf<"call">];
    await answer(a);
    await answer(b);
    caller.send(request("e"));
    await settle();
    await answer(c);
    assert.deepEqual(caller.answers.map(summary), ["a 200 keep", "b 200 keep", "c 200 keep", "d 503 close"]);
    assert.deepEqual(agent.all("call").map(({ path }) => path), ["/a", "/b", "/c"]);
});
