import { ManualClock, type Outcome, seededRandom, SystemClock } from "@waxwingspar/utils";
import fc from "fast-check";
import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import test, { type TestContext } from "node:test";
import { setImmediate as settle } from "node:timers/promises";
import { Agent, request } from "undici";
import { EngineServer } from "./EngineServer.js";
import { FakeEngine } from "./FakeEngine.js";
import { HttpEngine } from "./HttpEngine.js";
import { referenceAnswer } from "./model/referenceAnswer.js";
import { tokenizeText } from "./model/vocabulary.js";

const model = "demo";
const version = "1";
const last = 5;
const held = [{ model, version, first: 0, last }];
const instant = { stepTime: 0, itemTime: 0, prefillTokenTime: 0 };

async function serveFake(t: TestContext): Promise<{ engine: FakeEngine; port: number; }> {
    const engine = new FakeEngine({ clock: new SystemClock(), held, ...instant });
    const server = new EngineServer({ engine, bodyLimit: 4096 });
    const port = await server.listen();
    t.after(() => server.stop());
    return { engine, port };
}

test("sessions that share batches get the right answers with any priorities and cancellations", async () => {
    const sessions = fc.array(
        fc.record({
            priority: fc.integer({ min: 0, max: 2 }),
            words: fc.integer({ min: 0, max: 40 }),
            chunk: fc.integer({ min: 1, max: 20 }),
            cancelAfter: fc.option(fc.integer({ min: 0, max: 4 }), { nil: undefined }),
        }),
        { minLength: 1, maxLength: 8 },
    );
    await fc.assert(
        fc.asyncProperty(sessions, fc.integer({ min: 1, max: 4 }), async (choices, slots) => {
            const clock = new ManualClock();
            const engine = new FakeEngine({ clock, held, slots, cacheBlocks: 3 });
            let running = choices.length;
            const answers = choices.map(async ({ priority, words, chunk, cancelAfter }, index) => {
                const session = String(index);
                // Prompts share prefixes, so that the prefix cache has hits and evictions during the run.
                const prompt = Array.from({ length: words }, (_, word) => `w${word}`).join(" ") + String(index % 2);
                const tokens = tokenizeText(prompt);
                const opened = await engine.open({ session, model, version, first: 0, last, priority, tokens });
                const answer: number[] = [];
                let position = opened.isOk ? opened.value.cached : 0;
                while (answer.length < 4 && answer.length !== cancelAfter) {
                    const input = answer.length === 0 ? tokens.slice(position, position + chunk) : answer.slice(-1);
                    const sample = position + input.length >= tokens.length;
                    const step = { session, position, count: input.length, tokens: input, sample };
                    const outcome = await engine.step(step);
                    assert.ok(outcome.isOk);
                    position += input.length;
                    answer.push(...(outcome.value.token === undefined ? [] : [outcome.value.token]));
                }
                await engine.close(session);
                running--;
                const expected = referenceAnswer({ model, version, layers: last + 1, prompt, maxTokens: 4 }).tokens;
                assert.deepEqual(answer, expected.slice(0, answer.length));
            });
            const all = Promise.all(answers);
            while (running > 0) {
                await Promise.race([clock.advanceAsync(50, 1), all]);
            }
            await all;
        }),
        { numRuns: 40 },
    );
});

/**
 * Starts a proxy that cuts each connection after a random number of bytes in one direction, and stops accepting
 * connections after a random number of them.
 */
async function startFaultyProxy(t: TestContext, port: number, seed: number): Promise<number> {
    const random = seededRandom(seed);
    const sockets = new Set<Socket>();
    let remainingConnections = 3 + random.below(6);
    const server = createServer(inbound => {
        remainingConnections--;
        if (remainingConnections === 0) {
            server.close();
        }
        const outbound = connect(port, "127.0.0.1");
        let remainingBytes = random.below(3000);
        const cutsResponses = random.below(2) === 0;
        const closeBoth = () => [inbound, outbound].forEach(socket => socket.destroy());
        const forward = (to: Socket, counted: boolean) => (bytes: Buffer) => {
            to.write(counted ? bytes.subarray(0, remainingBytes) : bytes);
            remainingBytes -= counted ? bytes.length : 0;
            if (remainingBytes <= 0) {
                closeBoth();
            }
        };
        for (const socket of [inbound, outbound]) {
            sockets.add(socket);
            socket.on("error", closeBoth).on("close", closeBoth);
        }
        inbound.on("data", forward(outbound, !cutsResponses));
        outbound.on("data", forward(inbound, cutsResponses));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return (server.address() as AddressInfo).port;
}

test("a step reported as not run was never seen by the engine, whatever is cut", async t => {
    const results = new Set<string>();
    for (let seed = 0; seed < 20; seed++) {
        const { engine, port } = await serveFake(t);
        const seen = new Set<string>();
        const passed = engine.step.bind(engine);
        engine.step = step => {
            seen.add(step.session);
            return passed(step);
        };
        const origin = `http://127.0.0.1:${await startFaultyProxy(t, port, seed)}`;
        const adapter = new HttpEngine({ clock: new SystemClock(), origin, connections: 3 });
        t.after(() => adapter.disconnect());
        const outcomes = new Map<string, Outcome<unknown>>();
        for (let round = 0; round < 40; round++) {
            await Promise.all(["a", "b", "c"].map(async name => {
                const session = `${name} ${round}`;
                await engine.open({ session, model, version, first: 0, last, priority: 0 });
                outcomes.set(
                    session,
                    await adapter.step({ session, position: 0, count: 1, tokens: [1], sample: true }),
                );
            }));
        }
        await settle();
        for (const [step, outcome] of outcomes) {
            results.add(outcome.isErr ? outcome.error.code.name : "completed");
            const notRun = outcome.isErr && outcome.error.code.execution === "not run";
            assert.ok(!(notRun && seen.has(step)), `seed ${seed}: step ${step} ran but was reported as not run`);
        }
    }
    assert.deepEqual([...results].sort(), ["completed", "connection-lost", "not-connected"]);
});

test("an invalid request is answered or its connection closed, and the server continues to serve", async t => {
    const { engine, port } = await serveFake(t);
    // Each call opens a new connection: if this process stalls for longer than the server keeps idle connections open,
    // a call that reuses one would fail regardless of its body.
    const dispatcher = new Agent({ pipelining: 0 });
    t.after(() => dispatcher.close());
    const paths = ["info", "tokenize", "open", "close", "exportCache", "importCache", "load", "cacheEvents", "order"];
    const path = fc.constantFrom(...[...paths, "steps", "nothing"].map(name => `/engine/${name}`), "/");
    const anything = fc.anything({ withTypedArray: true, maxDepth: 3 }).map(value => pack(value));
    const bytes = fc.uint8Array({ maxLength: 200 }).map(array => Buffer.from(array));
    await fc.assert(
        fc.asyncProperty(path, fc.oneof(anything, bytes), async (target, body) => {
            const { statusCode, body: answer } = await request(`http://127.0.0.1:${port}${target}`, {
                method: "POST",
                body,
                dispatcher,
            });
            await answer.dump();
            assert.ok(statusCode === 200 || statusCode === 400);
        }),
        { numRuns: 300 },
    );
    const tooLong = request(`http://127.0.0.1:${port}/engine/open`, {
        method: "POST",
        body: Buffer.alloc(5000),
        dispatcher,
    });
    await assert.rejects(tooLong);
    assert.ok((await engine.info()).isOk);
    const { statusCode } = await request(`http://127.0.0.1:${port}/engine/info`, {
        method: "POST",
        body: pack(undefined),
        dispatcher,
    });
    assert.equal(statusCode, 200);
});
