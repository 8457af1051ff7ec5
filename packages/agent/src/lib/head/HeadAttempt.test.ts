import { referenceAnswer, tokenText } from "@waxwingspar/engine";
import { type Message } from "@waxwingspar/transport";
import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chainOf, openMessage, testPrompt } from "../testing/TestEntry.js";
import { testHello, type TestHost } from "../testing/TestNetwork.js";
import { testLayers, TestSite } from "../testing/TestSite.js";

const identity = { model: "demo", version: "1", layers: testLayers };
const reference = referenceAnswer({ ...identity, prompt: testPrompt, maxTokens: 20, seed: 7 });
const chain = chainOf(["a", "b", "c"], testLayers);

async function startThree(): Promise<TestSite> {
    const site = new TestSite();
    await site.startAll(["a", "b", "c"]);
    return site;
}

/** Whether every engine has closed the session of an attempt. */
async function allClosed(site: TestSite, session: string): Promise<boolean> {
    const exports = [...site.targets.values()].map(({ engine }) => engine.exportCache(session));
    return (await Promise.all(exports)).every(outcome => outcome.isErr);
}

test("three stages answer as one model", async () => {
    const site = await startThree();
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chain }));
    await site.until(() => answer.done !== undefined || answer.failed !== undefined);
    assert.deepEqual(answer.ids, reference.tokens);
    assert.equal(answer.text, reference.text);
    assert.equal(answer.done?.finish, reference.finish);
    assert.equal(answer.done?.promptTokens, reference.promptTokens);
    assert.equal(answer.done?.answerTokens, reference.tokens.length);
    assert.ok(await allClosed(site, "r1/0"));
    assert.equal(site.targets.get("a")?.queue.running, 0);
});

test("a single target serves a request alone", async () => {
    const site = new TestSite();
    await site.start("a");
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chainOf(["a"], testLayers) }));
    await site.until(() => answer.done !== undefined || answer.failed !== undefined);
    assert.deepEqual(answer.ids, reference.tokens);
});

test("a long prompt runs in chunks, and its repetition uses the prefix cache", async () => {
    const site = new TestSite();
    await site.startAll(["a", "b", "c"], { agent: { settings: { prefillChunk: 16 } } });
    const prompt = testPrompt.repeat(8);
    const expected = referenceAnswer({ ...identity, prompt, maxTokens: 20, seed: 7 });
    const first = await site.entry.open(openMessage({ request: "r1", stages: chain, prompt }));
    await site.until(() => first.done !== undefined);
    const second = await site.entry.open(openMessage({ request: "r2", stages: chain, prompt }));
    await site.until(() => second.done !== undefined);
    assert.deepEqual(first.ids, expected.tokens);
    assert.deepEqual(second.ids, expected.tokens);
    assert.equal(first.done?.cachedTokens, 0);
    assert.ok((second.done?.cachedTokens ?? 0) > expected.promptTokens / 2);
    assert.ok(
        site.events("c", "layers.run").filter(({ request, count }) => request === "r1" && count === 16).length > 3,
    );
});

test("stop string ends the answer before it", async () => {
    const site = await startThree();
    const stop = reference.text.slice(20, 27);
    const sampling = { maxTokens: 20, stop: ["no such text", stop], seed: 7 };
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chain, sampling }));
    await site.until(() => answer.done !== undefined);
    assert.equal(answer.text + (answer.done?.text ?? ""), reference.text.slice(0, reference.text.indexOf(stop)));
    assert.equal(answer.done?.finish, "stop");
    assert.deepEqual(answer.ids, reference.tokens.slice(0, answer.ids.length), "whole tokens before the stop string");
    assert.ok((answer.done?.answerTokens ?? 0) > answer.ids.length, "the tokens of the stop string are counted");
});

test("an answer still ends at a stop string when an attempt is lost in the middle of it", async () => {
    // The stop string begins in the middle of a token and ends in a later one.
    const texts = reference.tokens.map(token => tokenText(token));
    const before = texts.slice(0, 4).join("").length + 1;
    const stop = reference.text.slice(before, before + texts.slice(4, 7).join("").length);
    const sampling = { maxTokens: 20, stop: [stop], seed: 7 };
    for (const credit of [3, 4, 5, 6, 7]) {
        const site = await startThree();
        const first = await site.entry.open(openMessage({ request: "r1", stages: chain, sampling, credit }));
        await site.clock.advanceAsync(3000);
        // The first attempt may have sent its end, which the entry has not received.
        const produced = first.ids.slice();
        const second = await site.entry.open(
            openMessage({ request: "r1", epoch: 1, stages: chain, sampling, produced }),
        );
        await site.until(() => second.done !== undefined || second.failed !== undefined);
        const text = first.text + second.text + (second.done?.text ?? "");
        assert.equal(text, reference.text.slice(0, before), `after a credit of ${credit}`);
        assert.equal(second.done?.finish, "stop");
    }
});

test("an attempt resumes after the tokens already produced", async () => {
    const site = await startThree();
    const produced = reference.tokens.slice(0, 7);
    const answer = await site.entry.open(
        openMessage({ request: "r1", epoch: 3, stages: chain, produced: [...produced] }),
    );
    await site.until(() => answer.done !== undefined);
    assert.equal(answer.first, 7);
    assert.deepEqual([...produced, ...answer.ids], reference.tokens);
    assert.equal(answer.done?.answerTokens, reference.tokens.length);
});

test("the head sends no more tokens than the credit of the entry allows", async () => {
    const site = await startThree();
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chain, credit: 3 }));
    await site.clock.advanceAsync(2000, 1);
    assert.equal(answer.ids.length, 3);
    const steps = site.events("a", "layers.run").length;
    await site.clock.advanceAsync(2000, 1);
    assert.equal(site.events("a", "layers.run").length, steps, "decoding has stopped");
    const link = await site.entry.link("a");
    link.send({ type: "credit", request: "r1", epoch: 0, upTo: 5 });
    link.send({ type: "credit", request: "r1", epoch: 0, upTo: 4 });
    await site.clock.advanceAsync(2000, 1);
    assert.equal(answer.ids.length, 5);
    link.send({ type: "credit", request: "r1", epoch: 0, upTo: 1000 });
    await site.until(() => answer.done !== undefined);
    assert.deepEqual(answer.ids, reference.tokens);
    const interval = answer.done?.load?.tokenInterval ?? 0;
    assert.ok(interval > 10 && interval < 30, `a slow caller does not count as a slow target: ${interval} ms`);
});

test("requests that the head cannot run are refused", async () => {
    const site = await startThree();
    const cases: [string, number, Partial<Parameters<typeof openMessage>[0]>][] = [
        ["other head", requestCodes.wrongTarget.number, { stages: chainOf(["b", "a"], testLayers) }],
        ["other version", requestCodes.wrongTarget.number, { version: "2" }],
        ["other model", requestCodes.wrongTarget.number, { model: "other" }],
        ["missing adapter", requestCodes.wrongTarget.number, { adapter: "cabinets" }],
        ["target twice", requestCodes.malformed.number, { stages: chainOf(["a", "b", "a"], testLayers) }],
        ["gap", requestCodes.malformed.number, { stages: chain.filter(stage => stage.target !== "b") }],
    ];
    const link = await site.entry.link("a");
    for (const [request, code, changes] of cases) {
        link.send(openMessage({ request, stages: chain, ...changes }));
        const answer = site.entry.answer(request, 0);
        await site.until(() => answer.failed !== undefined, 100);
        assert.equal(answer.failed?.failure.code, code, request);
    }
    assert.deepEqual(site.events("a", "layers.run"), []);
});

test("old epoch is refused, repeated one ignored", async () => {
    const site = await startThree();
    const answer = await site.entry.open(openMessage({ request: "r1", epoch: 2, stages: chain }));
    await site.until(() => answer.ids.length > 2);
    await site.entry.open(openMessage({ request: "r1", epoch: 2, stages: chain }));
    const old = await site.entry.open(openMessage({ request: "r1", epoch: 1, stages: chain }));
    await site.until(() => answer.done !== undefined);
    assert.deepEqual(answer.ids, reference.tokens);
    assert.equal(old.failed?.failure.code, requestCodes.staleEpoch.number);
});

test("newer epoch replaces a running one", async () => {
    const site = await startThree();
    const first = await site.entry.open(openMessage({ request: "r1", stages: chain }));
    await site.until(() => first.ids.length > 4);
    const produced = [...first.ids];
    const second = await site.entry.open(openMessage({ request: "r1", epoch: 1, stages: chain, produced }));
    await site.until(() => second.done !== undefined);
    assert.deepEqual([...produced, ...second.ids], reference.tokens);
    assert.equal(first.done, undefined);
    await site.clock.advanceAsync(5000, 100);
    assert.ok(await allClosed(site, "r1/0"));
});

test("cancel at every point frees everything", async () => {
    for (let point = 0; point < 60; point += 3) {
        const site = new TestSite(1);
        await site.startAll(["a", "b", "c"]);
        const answer = await site.entry.open(openMessage({ request: "r1", stages: chain }));
        await site.clock.advanceAsync(point, 1);
        const link = await site.entry.link("a");
        link.send({ type: "cancel", request: "r1", epoch: 0 });
        await site.clock.advanceAsync(20, 1);
        assert.ok(await allClosed(site, "r1/0"), `sessions are closed when cancelled after ${point} ms`);
        assert.equal(site.targets.get("a")?.queue.running, 0);
        const steps = site.history.length;
        await site.clock.advanceAsync(300, 1);
        assert.equal(site.history.length, steps, "nothing runs after the cancellation");
        assert.equal(answer.done, undefined);
    }
});

test("a cancelled request leaves the queue", async () => {
    const site = new TestSite();
    await site.start("a", { slots: 1 });
    const stages = chainOf(["a"], testLayers);
    const first = await site.entry.open(openMessage({ request: "r1", stages }));
    await site.entry.open(openMessage({ request: "r2", stages, firstTokenBound: 60_000 }));
    await site.clock.advanceAsync(5, 1);
    const target = site.targets.get("a");
    assert.equal(target?.queue.queued, 1);
    (await site.entry.link("a")).send({ type: "cancel", request: "r2", epoch: 0 });
    await site.until(() => first.done !== undefined);
    assert.equal(target?.queue.queued, 0);
    assert.equal(target?.queue.running, 0);
    assert.equal(site.events("a", "layers.run").filter(({ request }) => request === "r2").length, 0);
});

test("a cancellation that arrives before its open message prevents the run", async () => {
    const site = await startThree();
    const link = await site.entry.link("a");
    link.send({ type: "cancel", request: "r1", epoch: 0 });
    link.send(openMessage({ request: "r1", stages: chain }));
    await site.clock.advanceAsync(100, 1);
    assert.deepEqual(site.events("a", "layers.run"), []);
});

test("the loss of the entry cancels the request", async () => {
    const site = await startThree();
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chain }));
    await site.until(() => answer.ids.length > 2);
    site.network.kill("entry");
    await site.clock.advanceAsync(20, 1);
    assert.ok(await allClosed(site, "r1/0"));
    assert.equal(site.targets.get("a")?.queue.running, 0);
});

test("deadline ends a running request", async () => {
    const site = await startThree();
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chain, timeLeft: 100 }));
    await site.until(() => answer.failed !== undefined, 200);
    assert.equal(answer.failed?.failure.code, requestCodes.deadlineExceeded.number);
});

test("answers of many requests do not cross", async () => {
    const site = await startThree();
    const prompts = Array.from({ length: 12 }, (_, index) => `${testPrompt} case ${index}`);
    const answers = await Promise.all(
        prompts.map((prompt, index) => site.entry.open(openMessage({ request: `r${index}`, stages: chain, prompt }))),
    );
    await site.until(() => answers.every(answer => answer.done !== undefined));
    answers.forEach((answer, index) => {
        const expected = referenceAnswer({ ...identity, prompt: prompts[index] ?? "", maxTokens: 20, seed: 7 });
        assert.deepEqual(answer.ids, expected.tokens);
    });
    const loads = site.entry.received.filter((message: Message) => message.type === "load");
    assert.ok(loads.length > 0, "the link got load reports while it carried requests");
});

test("a fast stage does not run far ahead of a slow one", async () => {
    const site = new TestSite(1);
    const settings = { prefillChunk: 16, frameWindow: 64 };
    await site.startAll(["a", "b", "c"], { agent: { settings } });
    site.targets.get("c")?.engine.slow(4);
    const prompt = testPrompt.repeat(40);
    const expected = referenceAnswer({ ...identity, prompt, maxTokens: 20, seed: 7 });
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chain, prompt }));
    let farthest = 0;
    await site.until(() => {
        const reached = ["a", "b", "c"].map(target => site.events(target, "layers.run").at(-1)?.position ?? 0);
        farthest = Math.max(farthest, (reached[0] ?? 0) - (reached[1] ?? 0), (reached[1] ?? 0) - (reached[2] ?? 0));
        return answer.done !== undefined || answer.failed !== undefined;
    });
    assert.deepEqual(answer.ids, expected.tokens);
    assert.ok(farthest <= 64 + 16, `a stage was ${farthest} positions ahead`);
});

test("chunks larger than the window are sent one at a time", async () => {
    const site = new TestSite(1);
    await site.startAll(["a", "b", "c"], { agent: { settings: { prefillChunk: 64, frameWindow: 10 } } });
    const prompt = testPrompt.repeat(20);
    const expected = referenceAnswer({ ...identity, prompt, maxTokens: 20, seed: 7 });
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chain, prompt }));
    await site.until(() => answer.done !== undefined || answer.failed !== undefined);
    assert.deepEqual(answer.ids, expected.tokens);
});

test("late, repeated and unexpected tokens of the last stage are ignored", async () => {
    const site = new TestSite();
    await site.start("a");
    const tokens = reference.tokens.slice(0, 3);
    const first = reference.promptTokens;
    const last: TestHost = {
        hello: testHello("b", "agent"),
        methods: () => ({}),
        accept: link =>
            link.onMessage(message => {
                if (message.type === "join") {
                    const { request, epoch } = message;
                    link.send({ type: "joined", request, epoch, target: "b", cached: 0 });
                }
                if (message.type === "frame" && !message.prefill) {
                    const { request, epoch } = message;
                    const position = message.position + message.count;
                    const sampled = { type: "sampled", request, epoch, text: "x", end: false } as const;
                    const token = tokens[position - first] ?? 0;
                    link.send({ ...sampled, position, token, epoch: epoch + 1 });
                    link.send({ ...sampled, position, token, request: "r2" });
                    link.send({ ...sampled, position: position - 1, token: 1 });
                    link.send({ ...sampled, position, token });
                    link.send({ ...sampled, position, token: 2 });
                }
            }),
    };
    site.network.listen(last);
    const stages = chainOf(["a", "b"], testLayers);
    const sampling = { maxTokens: 3, stop: [], seed: 7 };
    const answer = await site.entry.open(openMessage({ request: "r1", stages, sampling }));
    await site.until(() => answer.done !== undefined || answer.failed !== undefined);
    assert.deepEqual(answer.ids, tokens);
    assert.equal(answer.done?.finish, "length");
});
