import fc from "fast-check";
import assert from "node:assert/strict";
import { connect } from "node:net";
import test from "node:test";
import { callerToken, TestSite } from "../testing/TestSite.js";

/** Sends bytes, ends the connection, and returns what was received. */
function send(port: number, bytes: Uint8Array): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const socket = connect(port, "127.0.0.1", () => socket.end(bytes));
        socket.on("data", data => {
            received += data.toString("latin1");
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
    });
}

const model = fc.constantFrom("demo", "demo:polite", "none", "", ":", "demo:", 7, undefined);
const anyField = fc.oneof(fc.jsonValue(), fc.constantFrom(-1, 0, 1e308, "x", [], {}, "\u0000"));
const body = fc.oneof(
    fc.record({ model, prompt: anyField, max_tokens: anyField, stop: anyField, stream: anyField }).map(value =>
        JSON.stringify(value)
    ),
    fc.record({ model, messages: fc.array(fc.record({ role: anyField, content: anyField })) }).map(value =>
        JSON.stringify(value)
    ),
    fc.string(),
    fc.json(),
);
const headerValue = fc.string({ unit: "binary-ascii", maxLength: 60 });
const headerName = fc.constantFrom(
    "X-Priority",
    "X-Request-Timeout",
    "X-Request-Id",
    "Idempotency-Key",
    "X-Non-Idempotent",
    "traceparent",
    "Authorization",
    "Content-Length",
    "Transfer-Encoding",
    "Expect",
    "Connection",
    "Upgrade",
);
const path = fc.oneof(
    fc.constantFrom("/v1/completions", "/v1/chat/completions", "/v1/models", "/services/records/work-orders", "*"),
    fc.webPath(),
    fc.string().map(text => `/services/${text}`),
);

test("no input makes a handler throw or stay open", async context => {
    const site = await new TestSite().start();
    context.after(() => site.entry.stop());
    site.agents.forEach(agent => {
        agent.reachable = false;
    });
    const request = fc.tuple(
        fc.constantFrom("POST", "GET", "PUT", "HEAD", "OPTIONS", "CONNECT"),
        path,
        fc.array(fc.tuple(headerName, headerValue), { maxLength: 4 }),
        body,
        fc.boolean(),
    );
    await fc.assert(
        fc.asyncProperty(request, async ([method, target, headers, content, authorized]) => {
            const lines = [
                `${method} ${target} HTTP/1.1`,
                "Host: x",
                ...headers.map(([name, value]) => `${name}: ${value}`),
                ...authorized ? [`Authorization: Bearer ${callerToken}`] : [],
                `Content-Length: ${Buffer.byteLength(content)}`,
            ];
            const answer = await send(site.port, Buffer.from(`${lines.join("\r\n")}\r\n\r\n${content}`));
            assert.equal(answer === "" || /^HTTP\/1\.1 [1-5]\d\d /.test(answer), true);
            assert.deepEqual(site.faults, []);
        }),
        { numRuns: 300 },
    );
    assert.equal(site.entry.openRequests, 0);
});

test("no bytes make a handler throw", async context => {
    const site = await new TestSite().start();
    context.after(() => site.entry.stop());
    await fc.assert(
        fc.asyncProperty(fc.uint8Array({ maxLength: 400 }), async bytes => {
            await send(site.port, bytes);
            assert.deepEqual(site.faults, []);
        }),
        { numRuns: 100 },
    );
    assert.equal(site.entry.openRequests, 0);
});
