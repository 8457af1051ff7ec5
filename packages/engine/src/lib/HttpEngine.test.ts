import { ManualClock, type Outcome, requestCodes, SystemClock, transportCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { createServer as createHttpServer, type RequestListener } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server, type Socket } from "node:net";
import test, { type TestContext } from "node:test";
import { type Session, type Step } from "./Engine.js";
import { EngineServer } from "./EngineServer.js";
import { FakeEngine } from "./FakeEngine.js";
import { HttpEngine, type HttpEngineOptions } from "./HttpEngine.js";
import { referenceAnswer } from "./model/referenceAnswer.js";
import { tokenizeText } from "./model/vocabulary.js";

const model = "demo";
const version = "1";
const last = 3;

function fakeEngine(): FakeEngine {
    const held = [{ model, version, first: 0, last }];
    return new FakeEngine({ clock: new SystemClock(), held, stepTime: 0, itemTime: 0, prefillTokenTime: 0 });
}

function adapterTo(t: TestContext, port: number, options: Partial<HttpEngineOptions> = {}): HttpEngine {
    const adapter = new HttpEngine({ clock: new SystemClock(), origin: `http://127.0.0.1:${port}`, ...options });
    t.after(() => adapter.disconnect());
    return adapter;
}

async function serve(t: TestContext, engine: FakeEngine): Promise<{ server: EngineServer; adapter: HttpEngine; }> {
    const server = new EngineServer({ engine });
    const port = await server.listen();
    t.after(() => server.stop());
    return { server, adapter: adapterTo(t, port) };
}

function sessionOf(session: string, changes: Partial<Session> = {}): Session {
    return { session, model, version, first: 0, last, priority: 0, ...changes };
}

function stepOf(session: string, position: number, tokens: number[]): Step {
    return { session, position, count: tokens.length, tokens, sample: true };
}

function unwrap<T>(outcome: Outcome<T>): T {
    assert.ok(outcome.isOk, outcome.isErr ? outcome.error.message : "");
    return outcome.value;
}

function codeOf(outcome: Outcome<unknown>): string | undefined {
    return outcome.isErr ? outcome.error.code.name : undefined;
}

async function listen(t: TestContext, server: Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    return (server.address() as AddressInfo).port;
}

test("answers over HTTP equal the reference answers", async t => {
    const { adapter } = await serve(t, fakeEngine());
    const prompts = ["first prompt", "second one", "a third, which is longer than the others"];
    const answers = await Promise.all(prompts.map(async prompt => {
        unwrap(await adapter.open(sessionOf(prompt)));
        let input = unwrap(await adapter.tokenize(model, prompt));
        const answer: number[] = [];
        for (let position = 0; answer.length < 8; position += input.length, input = answer.slice(-1)) {
            answer.push(unwrap(await adapter.step(stepOf(prompt, position, input))).token ?? -1);
        }
        return answer;
    }));
    for (const [index, prompt] of prompts.entries()) {
        const reference = referenceAnswer({ model, version, layers: last + 1, prompt, maxTokens: 8 });
        assert.deepEqual(answers[index], reference.tokens);
    }
});

test("every method transfers its input, its value and its failure", async t => {
    const engine = fakeEngine();
    const { adapter } = await serve(t, engine);
    assert.deepEqual(unwrap(await adapter.info()), unwrap(await engine.info()));
    const tokens = tokenizeText(
        "one two three four five six seven eight nine ten eleven twelve thirteen fourteen 15 16",
    );
    unwrap(await adapter.open(sessionOf("a", { tokens })));
    assert.equal(codeOf(await adapter.open(sessionOf("a"))), requestCodes.engineFailed.name);
    assert.equal(codeOf(await adapter.open(sessionOf("b", { last: last + 1 }))), requestCodes.wrongTarget.name);
    const { token } = unwrap(await adapter.step(stepOf("a", 0, tokens)));
    assert.equal(codeOf(await adapter.step(stepOf("a", 0, tokens))), requestCodes.engineFailed.name);
    const { data, positions } = unwrap(await adapter.exportCache("a"));
    assert.equal(positions, tokens.length);
    await adapter.close("a");
    assert.equal(codeOf(await adapter.exportCache("a")), requestCodes.engineFailed.name);
    unwrap(await adapter.open(sessionOf("c")));
    assert.deepEqual(unwrap(await adapter.importCache("c", data)), { positions });
    const redrawn = unwrap(await adapter.step(stepOf("c", positions - 1, tokens.slice(-1))));
    assert.equal(redrawn.token, token);
    assert.equal(unwrap(await adapter.load()).waiting, 0);
    assert.deepEqual(unwrap(await adapter.cacheEvents(0)), unwrap(await engine.cacheEvents(0)));
    unwrap(await adapter.order({ id: "o", fence: 3, action: { kind: "setRole", role: "idle" } }));
    assert.equal(unwrap(await adapter.info()).role, "idle");
});

test("steps of one event-loop turn share a request, and steps of one session stay in order", async t => {
    const { adapter } = await serve(t, fakeEngine());
    let requests = 0;
    const count = () => void requests++;
    subscribe("undici:request:create", count);
    t.after(() => unsubscribe("undici:request:create", count));
    const sessions = ["a", "b", "c"];
    await Promise.all(sessions.map(session => adapter.open(sessionOf(session))));
    requests = 0;
    const run = (positions: number[]) => (
        Promise.all(
            positions.flatMap(position => sessions.map(session => adapter.step(stepOf(session, position, [position])))),
        )
    );
    (await run([0])).forEach(unwrap);
    assert.equal(requests, 1);
    (await run([1, 2, 3])).forEach(unwrap);
});

test("a call whose connection could not be opened is reported as not run", async t => {
    const server = createTcpServer();
    const port = await listen(t, server);
    await new Promise(resolve => server.close(resolve));
    const adapter = adapterTo(t, port);
    for (const outcome of [await adapter.info(), await adapter.step(stepOf("a", 0, [1]))]) {
        assert.equal(codeOf(outcome), transportCodes.notConnected.name);
    }
    await adapter.close("a");
});

/** Starts a TCP server that injects a fault into each connection once its request has arrived. */
async function serveRaw(t: TestContext, injectFault: (socket: Socket) => void): Promise<HttpEngine> {
    const server = createTcpServer(socket => {
        socket.on("error", () => {});
        socket.once("data", () => injectFault(socket));
        t.after(() => socket.destroy());
    });
    return adapterTo(t, await listen(t, server));
}

test("the outcome of a call is unknown if its connection is lost after the request was sent", async t => {
    const head = "HTTP/1.1 200 OK\r\ncontent-type: application/msgpack\r\ncontent-length: 100\r\n\r\n";
    const faults: ((socket: Socket) => void)[] = [
        socket => socket.resetAndDestroy(),
        socket => socket.end(),
        socket => socket.write(head, () => socket.resetAndDestroy()),
        socket => socket.end(`${head}\u0000\u0000\u0000`),
        socket => socket.end("no HTTP at all\r\n\r\n"),
    ];
    for (const injectFault of faults) {
        const adapter = await serveRaw(t, injectFault);
        assert.equal(codeOf(await adapter.info()), transportCodes.connectionLost.name);
        assert.equal(codeOf(await adapter.step(stepOf("a", 0, [1]))), transportCodes.connectionLost.name);
    }
});

test("a batch whose connection breaks keeps the outcomes already received", async t => {
    const engine = fakeEngine();
    const { adapter, server } = await serve(t, engine);
    unwrap(await adapter.open(sessionOf("a")));
    unwrap(await adapter.open(sessionOf("b")));
    const passed = engine.step.bind(engine);
    let release = () => {};
    const released = new Promise<void>(resolve => release = resolve);
    engine.step = async step => {
        if (step.session === "b") {
            await released;
        }
        return passed(step);
    };
    const first = adapter.step(stepOf("a", 0, [1]));
    const second = adapter.step(stepOf("b", 0, [1]));
    const behind = adapter.step(stepOf("b", 1, [1]));
    unwrap(await first);
    await server.stop();
    assert.equal(codeOf(await second), transportCodes.connectionLost.name);
    assert.equal(codeOf(await behind), transportCodes.notConnected.name);
    // The step now ends on a closed connection, which must not crash the engine's process.
    release();
    await new Promise(resolve => setImmediate(resolve));
});

test("a call to a hanging engine fails after its timeout, as measured by the clock", async t => {
    const clock = new ManualClock();
    const server = createTcpServer();
    const connected = new Promise<void>(resolve => {
        server.on("connection", socket => {
            socket.on("error", () => {});
            socket.once("data", () => resolve());
            t.after(() => socket.destroy());
        });
    });
    const adapter = adapterTo(t, await listen(t, server), { clock, callTimeout: 500 });
    const call = adapter.info();
    await connected;
    clock.advance(500);
    assert.equal(codeOf(await call), transportCodes.requestTimeout.name);
});

test("a response that violates the protocol leaves the outcome unknown", async t => {
    const answers: RequestListener[] = [
        (_, response) => response.end("plain text"),
        (_, response) => response.end(Buffer.from([0x81, 0xa5])),
        (_, response) => response.writeHead(500).end(),
        (_, response) => response.end(Buffer.from([0xff, 0xff, 0xff, 0xff, 1])),
        (_, response) => response.end(Buffer.from([0, 0, 0, 2, 0x92, 7])),
    ];
    for (const answer of answers) {
        const adapter = adapterTo(t, await listen(t, createHttpServer(answer)));
        assert.equal(codeOf(await adapter.info()), transportCodes.protocolViolation.name);
        assert.equal(codeOf(await adapter.step(stepOf("a", 0, [1]))), transportCodes.protocolViolation.name);
    }
});
