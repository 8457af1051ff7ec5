import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { type PlannedCall } from "../plan/LoadSettings.js";
import { HttpCaller } from "./HttpCaller.js";

const call: PlannedCall = {
    at: 0,
    kind: "model",
    caller: { name: "ports", token: "secret" },
    path: "/v1/completions",
    body: "{}",
};

async function startSite(context: TestContext, listener: RequestListener, timeout = 60_000): Promise<HttpCaller> {
    const server = createServer(listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const caller = new HttpCaller(new SystemClock(), `http://127.0.0.1:${port}`, timeout);
    context.after(async () => {
        await caller.close();
        server.closeAllConnections();
        server.close();
    });
    return caller;
}

function event(value: unknown): string {
    return `data: ${JSON.stringify(value)}\n\n`;
}

const token = event({ choices: [{ text: "mást" }] });
const last = event({ choices: [{ text: "", finish_reason: "length" }] });
const usage = event({ choices: [], usage: { prompt_tokens: 9, completion_tokens: 2 } });

test("reads a whole stream, even if every byte arrives on its own", async context => {
    let authorization: string | undefined;
    const caller = await startSite(context, (request, response) => {
        authorization = request.headers.authorization;
        const bytes = Buffer.from(`${token}${token}${last}${usage}data: [DONE]\n\n`);
        response.writeHead(200, { "content-type": "text/event-stream" });
        for (const byte of bytes) {
            response.write(Buffer.of(byte));
        }
        response.end();
    });
    const end = await caller.call(call);
    assert.equal(authorization, "Bearer secret");
    const { outcome, pieceTimes, promptTokens, answerTokens } = end;
    assert.deepEqual([outcome, pieceTimes.length, promptTokens, answerTokens], ["completed", 2, 9, 2]);
});

test("reads the result code of a refusal, both before and during a stream", async context => {
    const refusal = { error: { number: 1301, execution: "not run" } };
    for (const [status, body] of [[503, JSON.stringify(refusal)], [200, token + event(refusal)]] as const) {
        const caller = await startSite(context, (_, response) => response.writeHead(status).end(body));
        const { outcome, code, pieceTimes } = await caller.call(call);
        assert.deepEqual([outcome, code], ["refused", 1301]);
        assert.equal(pieceTimes.length, status === 200 ? 1 : 0, "the body of an error is not counted as a token");
    }
});

test("a stream that ends early is not completed", async context => {
    const early = await startSite(context, (_, response) => response.writeHead(200).end(token + last));
    assert.equal((await early.call(call)).outcome, "broken");
    const cut = await startSite(context, (_, response) => {
        response.writeHead(200).write(token, () => response.destroy());
    });
    assert.equal((await cut.call(call)).outcome, "broken");
    const unread = await startSite(context, request => request.destroy());
    assert.equal((await unread.call(call)).outcome, "broken");
});

test("distinguishes a site that cannot be reached from one that does not answer", async context => {
    const silent = await startSite(context, () => undefined, 50);
    assert.equal((await silent.call(call)).outcome, "timed out");
    const unreachable = new HttpCaller(new SystemClock(), "http://127.0.0.1:1", 60_000);
    assert.equal((await unreachable.call(call)).outcome, "not connected");
    await unreachable.close();
});
