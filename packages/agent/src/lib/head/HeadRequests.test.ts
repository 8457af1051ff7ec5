import { encodeClaim, shortHash } from "@waxwingspar/claims";
import { referenceAnswer } from "@waxwingspar/engine";
import { createTracing } from "@waxwingspar/telemetry";
import { type OpenMessage } from "@waxwingspar/transport";
import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chainOf, openMessage, type TestAnswer, testPrompt } from "../testing/TestEntry.js";
import { testHello } from "../testing/TestNetwork.js";
import { testLayers, TestSite } from "../testing/TestSite.js";

type SpanExporter = NonNullable<Parameters<typeof createTracing>[0]["exporter"]>;

const identity = { model: "demo", version: "1", layers: testLayers };
const reference = referenceAnswer({ ...identity, prompt: testPrompt, maxTokens: 20, seed: 7 });
const stages = chainOf(["a", "b", "c"], testLayers);

function claim(incarnation = "a-1", key = "key"): string {
    const runner = { target: "a", incarnation };
    return encodeClaim({ route: "demo", organisation: "ports", keyHash: shortHash(key), generation: 0, runner });
}

function claimed(request: string, changes: Partial<OpenMessage> = {}): OpenMessage {
    return openMessage({ request, stages, claim: claim(), ...changes });
}

async function startSite(settings = {}): Promise<TestSite> {
    const site = new TestSite(1);
    await site.startAll(["a", "b", "c", "d"], { agent: { settings } });
    return site;
}

function lengthOf(options: { maxTokens: number; seed: number; }): number {
    return referenceAnswer({ ...identity, prompt: testPrompt, ...options }).tokens.length;
}

function ended(answer: TestAnswer): boolean {
    return answer.done !== undefined || answer.failed !== undefined;
}

function requestsThatRan(site: TestSite): string[] {
    return [...new Set(site.events("a", "layers.run").map(({ request }) => request))];
}

test("duplicates at any moment get the same answer from one run", async () => {
    for (const moment of [0, 3, 20, 60, 150, 600]) {
        const site = await startSite();
        const other = site.createEntry("entry2");
        const first = await site.entry.open(claimed("r1"));
        await site.clock.advanceAsync(moment, 1);
        const second = await other.open(claimed("r2", { credit: 2 }));
        await site.until(() => second.ids.length === 2);
        (await other.link("a")).send({ type: "credit", request: "r2", epoch: 0, upTo: 1000 });
        await site.until(() => ended(first) && ended(second));
        assert.deepEqual(first.ids, reference.tokens);
        assert.deepEqual(second.ids, reference.tokens, `duplicate after ${moment} ms`);
        assert.equal(second.text, reference.text);
        assert.deepEqual(second.done?.finish, first.done?.finish);
        assert.deepEqual(requestsThatRan(site), ["r1"]);
    }
});

test("claimed request runs to its end without its entry", async () => {
    const site = await startSite();
    const other = site.createEntry("entry2");
    const first = await site.entry.open(claimed("r1"));
    await site.until(() => first.ids.length > 2);
    site.network.kill("entry");
    await site.clock.advanceAsync(1000, 1);
    const second = await other.open(claimed("r2"));
    await site.until(() => ended(second));
    assert.deepEqual(second.ids, reference.tokens);
    assert.deepEqual(requestsThatRan(site), ["r1"]);
});

test("slow caller does not hold up a claimed request", async () => {
    const site = await startSite();
    const first = await site.entry.open(claimed("r1", { credit: 1 }));
    const second = await site.entry.open(claimed("r2"));
    await site.until(() => ended(second));
    assert.equal(first.ids.length, 1);
    assert.deepEqual(second.ids, reference.tokens);
    assert.equal(site.targets.get("a")?.queue.running, 0, "the slot is free while the answer waits for its caller");
    (await site.entry.link("a")).send({ type: "credit", request: "r1", epoch: 0, upTo: 100 });
    await site.until(() => ended(first));
    assert.deepEqual(first.ids, reference.tokens);
});

test("restarted agent refuses claims of its earlier start as unknown", async () => {
    const site = await startSite();
    const first = await site.entry.open(claimed("r1"));
    await site.until(() => first.ids.length > 2);
    site.kill("a");
    await site.start("a", { incarnation: "a-2" });
    const epoch = await site.entry.open(claimed("r1", { epoch: 1, produced: [...first.ids] }));
    const duplicate = await site.entry.open(claimed("r2"));
    await site.until(() => ended(epoch) && ended(duplicate));
    assert.equal(epoch.failed?.failure.code, requestCodes.outcomeUnknown.number);
    assert.equal(duplicate.failed?.failure.code, requestCodes.outcomeUnknown.number);
    assert.deepEqual(site.events("a", "layers.run"), []);
    const fresh = await site.entry.open(claimed("r3", { claim: claim("a-2", "other") }));
    await site.until(() => ended(fresh));
    assert.deepEqual(fresh.ids, reference.tokens);
});

test("claimed request goes on at the same head after a stage is lost", async () => {
    const site = await startSite();
    const first = await site.entry.open(claimed("r1", { credit: 4 }));
    const duplicate = await site.entry.open(claimed("r2"));
    await site.until(() => duplicate.ids.length > 8);
    site.kill("b");
    await site.until(() => ended(first) && ended(duplicate));
    assert.equal(first.failed?.target, "b");
    assert.equal(first.failed?.failure.code, requestCodes.stageLost.number);
    assert.equal(duplicate.failed?.failure.code, requestCodes.inProgress.number);
    const chain = chainOf(["a", "d", "c"], testLayers);
    const next = await site.entry.open(claimed("r1", { epoch: 1, stages: chain, produced: [...first.ids] }));
    const late = await site.entry.open(claimed("r3"));
    await site.until(() => ended(next) && ended(late));
    assert.deepEqual([...first.ids, ...next.ids], reference.tokens);
    assert.deepEqual(late.ids, reference.tokens);
    assert.deepEqual(requestsThatRan(site), ["r1"]);
});

test("a newer epoch takes over a claimed run in progress", async () => {
    const site = await startSite();
    const first = await site.entry.open(claimed("r1"));
    await site.until(() => first.ids.length > 4);
    const produced = first.ids.slice(0, 3);
    const next = await site.entry.open(claimed("r1", { epoch: 1, produced }));
    await site.until(() => ended(next));
    assert.deepEqual([...produced, ...next.ids], reference.tokens);
    assert.deepEqual(requestsThatRan(site), ["r1"]);
});

test("a claim refused as not run stays refused", async () => {
    const site = await startSite();
    site.kill("c");
    const first = await site.entry.open(claimed("r1"));
    await site.until(() => ended(first));
    assert.equal(first.failed?.target, "c");
    const again = await site.entry.open(claimed("r2", { stages: chainOf(["a", "b", "d"], testLayers) }));
    await site.until(() => ended(again));
    assert.equal(again.failed?.failure.code, first.failed?.failure.code);
    assert.deepEqual(site.events("a", "layers.run"), []);
});

test("a claim whose first attempt ran without a token is never reported as not run", async () => {
    const site = await startSite();
    const first = await site.entry.open(claimed("r1"));
    await site.until(() => site.events("a", "layers.run").length > 0);
    site.kill("c");
    await site.until(() => ended(first));
    assert.equal(first.ids.length, 0);
    // The next attempt is refused before any layer runs.
    const next = await site.entry.open(claimed("r1", { epoch: 1 }));
    await site.until(() => ended(next));
    const duplicate = await site.entry.open(claimed("r2", { stages: chainOf(["a", "b", "d"], testLayers) }));
    await site.until(() => ended(duplicate));
    assert.equal(duplicate.failed?.failure.code, requestCodes.inProgress.number);
});

test("a claim that ran is never reported as not run, even after its model is unloaded", async () => {
    const site = await startSite();
    const first = await site.entry.open(claimed("r1"));
    await site.until(() => ended(first));
    const unload = { kind: "unload", model: "demo", version: "1" } as const;
    const ordered = site.targets.get("a")?.agent.apply({ id: "o1", fence: 1, action: unload });
    await site.clock.advanceAsync(100, 1);
    assert.ok((await ordered)?.isOk);
    const fresh = await site.entry.open(openMessage({ request: "r2", stages }));
    const duplicate = await site.entry.open(claimed("r3"));
    const otherChain = await site.entry.open(claimed("r4", { stages: chainOf(["a", "b", "a"], testLayers) }));
    await site.until(() => ended(fresh) && ended(duplicate) && ended(otherChain));
    assert.equal(fresh.failed?.failure.code, requestCodes.wrongTarget.number);
    assert.deepEqual(duplicate.ids, reference.tokens);
    assert.equal(otherChain.failed?.failure.code, requestCodes.outcomeUnknown.number);
});

test("claimed request refused before its claim was looked at never runs", async () => {
    const site = await startSite();
    const wrong = await site.entry.open(claimed("r1", { version: "2" }));
    await site.until(() => ended(wrong));
    assert.equal(wrong.failed?.failure.code, requestCodes.wrongTarget.number);
    const late = await site.entry.open(claimed("r1", { epoch: 1 }));
    await site.until(() => ended(late));
    assert.equal(late.failed?.failure.code, requestCodes.wrongTarget.number);
    assert.deepEqual(site.events("a", "layers.run"), []);
});

test("claimed request goes on at a head that leaves", async () => {
    const site = await startSite();
    // The length of the fake model's answer depends on the seed; it must still run 3000 ms after the target leaves.
    const seeds = Array.from({ length: 100 }, (_, seed) => ({ maxTokens: 400, stop: [], seed }));
    const sampling = seeds.find(options => lengthOf(options) === 400);
    assert.ok(sampling !== undefined);
    const longReference = referenceAnswer({ ...identity, prompt: testPrompt, ...sampling });
    const first = await site.entry.open(claimed("r1", { sampling }));
    await site.until(() => first.ids.length > 3);
    let interrupted: number | undefined;
    void site.targets.get("a")?.agent.leave().then(result => {
        interrupted = result.interrupted;
    });
    await site.clock.advanceAsync(3000, 10);
    assert.equal(interrupted, undefined);
    site.kill("b");
    await site.until(() => ended(first));
    const chain = chainOf(["a", "d", "c"], testLayers);
    const next = await site.entry.open(claimed("r1", { epoch: 1, stages: chain, sampling, produced: [...first.ids] }));
    await site.until(() => ended(next));
    assert.deepEqual([...first.ids, ...next.ids], longReference.tokens);
    await site.until(() => interrupted !== undefined);
    assert.equal(interrupted, 0);
    assert.deepEqual(site.violations(), []);
});

test("each hop has a span, which is the parent of the span of the next hop", async () => {
    const spans: { name: string; id: string; parent: string | undefined; trace: string; }[] = [];
    const exporter = {
        export: (ended: Parameters<SpanExporter["export"]>[0], done: Parameters<SpanExporter["export"]>[1]) => {
            for (const span of ended) {
                const { spanId: id, traceId: trace } = span.spanContext();
                spans.push({ name: span.name, id, parent: span.parentSpanContext?.spanId, trace });
            }
            done({ code: 0 });
        },
        shutdown: () => Promise.resolve(),
    };
    const { tracer } = createTracing({ process: "test", exporter });
    const site = new TestSite(1);
    await site.startAll(["a", "b", "c"], { agent: { tracer } });
    const trace = "0af7651916cd43dd8448eb211c80319c";
    const parent = "b7ad6b7169203331";
    const traceparent = `00-${trace}-${parent}-01`;
    const answer = await site.entry.open(openMessage({ request: "r1", stages, traceparent }));
    await site.until(() => ended(answer));
    await site.clock.advanceAsync(10, 1);
    const head = spans.find(span => span.name === "agent.head");
    const later = spans.filter(span => span.name === "agent.stage");
    assert.equal(head?.parent, parent);
    assert.deepEqual(later.map(span => span.parent), [head?.id, head?.id]);
    assert.ok(spans.every(span => span.trace === trace));
});

test("messages from peers of the wrong role are dropped", async () => {
    const dropped: string[] = [];
    const site = new TestSite(1);
    await site.startAll(["a", "b", "c"], { agent: { metrics: { dropped: type => dropped.push(type) } } });
    const answer = await site.entry.open(openMessage({ request: "r1", stages }));
    await site.until(() => answer.ids.length > 2);
    const link = await site.entry.link("a");
    const position = reference.promptTokens + answer.ids.length;
    link.send({ type: "sampled", request: "r1", epoch: 0, position, token: 1, text: "x", end: true });
    const host = { hello: testHello("z", "agent"), methods: () => ({}), accept: () => undefined };
    const agentLink = await site.network.createPool(host).connect({ host: "a", port: 1 });
    assert.ok(agentLink.isOk);
    agentLink.value.send(openMessage({ request: "r2", stages }));
    await site.until(() => ended(answer));
    assert.deepEqual(answer.ids, reference.tokens);
    assert.deepEqual(requestsThatRan(site), ["r1"]);
    assert.deepEqual([...dropped].sort(), ["open", "sampled"]);
});
