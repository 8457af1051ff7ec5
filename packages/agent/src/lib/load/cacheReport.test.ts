import assert from "node:assert/strict";
import { test } from "node:test";
import { chainOf } from "../testing/TestEntry.js";
import { TestRun } from "../testing/TestRun.js";
import { testLayers, TestSite } from "../testing/TestSite.js";

test("answers carry the cache generation, which changes after the engine restarts with an empty cache", async () => {
    const site = new TestSite(1);
    const { engine } = await site.start("a");
    const generationOf = async (request: string): Promise<number | undefined> => {
        await site.clock.advanceAsync(3000, 100);
        const choose = () => chainOf(["a"], testLayers);
        const run = new TestRun({ entry: site.entry, request, choose });
        await site.until(() => run.outcome !== undefined, 20_000);
        assert.equal(run.outcome, "completed");
        const done = site.entry.received.find(message => message.type === "done" && message.request === request);
        return done?.type === "done" ? done.load?.cacheGeneration : undefined;
    };
    const before = await generationOf("r1");
    assert.equal(await generationOf("r2"), before);
    engine.crash();
    await site.clock.advanceAsync(1500, 100);
    engine.restart();
    const after = await generationOf("r3");
    assert.notEqual(after, undefined);
    assert.notEqual(after, before);
});
