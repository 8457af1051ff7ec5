import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { TestSite } from "../testing/TestSite.js";
import { cachedTextBlocks } from "./cachedTextBlocks.js";
import { blockCharacters, prefixHashes } from "./prefixHashes.js";

test("cached blocks are reported to the router, except for an attempt that may have fetched its cache", async context => {
    const site = await new TestSite().start();
    context.after(() => site.entry.stop());
    const prompt = "a".repeat(7 * blockCharacters);
    const body = { model: "demo", prompt, max_tokens: 1 };
    const ask = () => site.post("/v1/completions", body);

    const whole = ask();
    const open = await site.agent(0).wait("open");
    site.agent(0).tokens(open, 0, 1);
    site.agent(0).done(open, 1);
    assert.equal((await whole).status, 200);
    assert.deepEqual(site.router.cached, [{ head: "target-1", blocks: 2 }]);

    const resumed = ask();
    const first = await site.agent(0).wait("open", 2);
    const failure = { code: requestCodes.stageLost.number, message: "lost" };
    const { request, epoch } = first;
    site.agent(0).send({ type: "failed", request, epoch, failure, target: "target-9" });
    const second = await site.agent(0).wait("open", 3);
    assert.equal(second.exporters.length, 1);
    site.agent(0).tokens(second, 0, 1);
    site.agent(0).done(second, 1);
    assert.equal((await resumed).status, 200);
    assert.equal(site.router.cached.length, 1);
});

test("the share of cached tokens estimates the share of the text, within a quarter for uneven text", () => {
    // 1280 characters at 4 per token are cached, 1280 characters at 3 per token are not.
    const prompt = "a".repeat(10 * blockCharacters);
    const promptTokens = 1280 / 4 + Math.round(1280 / 3);
    const blocks = cachedTextBlocks(prompt, { promptTokens, cachedTokens: 1280 / 4 });
    assert.ok(Math.abs(blocks - 5) <= 0.25 * 5, `${blocks}`);
});

test("impossible counts are bounded by the prompt", () => {
    const prompt = "a".repeat(100 * blockCharacters);
    const of = (promptTokens: number, cachedTokens: number) => cachedTextBlocks(prompt, { promptTokens, cachedTokens });
    assert.deepEqual([of(0, 5), of(10, 50), of(10, -5)], [0, 100, 0]);
    assert.equal(prefixHashes("model", prompt).length, 64);
});
