import { referenceAnswer } from "@waxwingspar/engine";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chainOf, openMessage } from "../testing/TestEntry.js";
import { testLayers, TestSite } from "../testing/TestSite.js";

const prompt = "Why does the mast of the lift truck drift down under load?";
const reference = referenceAnswer({ model: "demo", version: "1", layers: testLayers, prompt, maxTokens: 20, seed: 7 });

test("three stages answer as one model", async () => {
    const site = new TestSite();
    await site.startAll(["a", "b", "c"]);
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chainOf(["a", "b", "c"], testLayers) }));
    await site.until(() => answer.done !== undefined || answer.failed !== undefined);
    assert.deepEqual(answer.ids, reference.tokens);
    assert.equal(answer.text, reference.text);
    assert.equal(answer.done?.finish, reference.finish);
    assert.equal(answer.done?.promptTokens, reference.promptTokens);
    assert.equal(answer.done?.answerTokens, reference.tokens.length);
});

test("one target runs alone", async () => {
    const site = new TestSite();
    await site.start("a");
    const answer = await site.entry.open(openMessage({ request: "r1", stages: chainOf(["a"], testLayers) }));
    await site.until(() => answer.done !== undefined || answer.failed !== undefined);
    assert.deepEqual(answer.ids, reference.tokens);
});
