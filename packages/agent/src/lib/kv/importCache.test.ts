import { referenceAnswer } from "@waxwingspar/engine";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AgentSettings } from "../AgentSettings.js";
import { chainOf, testPrompt } from "../testing/TestEntry.js";
import { TestRun } from "../testing/TestRun.js";
import { testLayers, TestSite } from "../testing/TestSite.js";

const prompt = testPrompt.repeat(6);
const reference = referenceAnswer({ model: "demo", version: "1", layers: testLayers, prompt, maxTokens: 40, seed: 7 });
const sampling = { maxTokens: 40, stop: [], seed: 7 };

/** Positions that a target computed in the second attempt. */
function computed(site: TestSite, target: string): number {
    const runs = site.events(target, "layers.run").filter(({ epoch }) => epoch === 1);
    return runs.reduce((sum, { count }) => sum + count, 0);
}

function reused(site: TestSite, target: string): { count: number; from: string; } {
    const [event] = site.events(target, "layers.reused");
    return { count: event?.count ?? 0, from: event?.from ?? "none" };
}

/** Runs a request whose chain changes after its first attempt, which something ends after 20 tokens. */
async function runWithChange(
    chains: readonly (readonly string[])[],
    end: (site: TestSite) => void,
    settings: Partial<AgentSettings> = {},
): Promise<TestSite> {
    const site = new TestSite(1);
    await site.startAll(["a", "b", "c", "d", "e"], { engine: { cacheBlocks: 0 }, agent: { settings } });
    const run = new TestRun({
        entry: site.entry,
        request: "r1",
        choose: (_, epoch) => chainOf(chains[epoch] ?? [], testLayers),
        changes: { prompt, sampling },
    });
    await site.until(() => run.ids.length === 20);
    end(site);
    await site.until(() => run.outcome !== undefined);
    assert.equal(run.outcome, "completed");
    assert.deepEqual(run.ids, reference.tokens);
    assert.deepEqual(site.violations(), []);
    return site;
}

function leave(site: TestSite, target: string): void {
    void site.targets.get(target)?.agent.leave();
}

const known = reference.promptTokens + 19;
const handOver = { handOverAfter: 0 };

test("a target that leaves hands its cache to its successor", async () => {
    const changes = [["a", ["d", "b", "c"]], ["b", ["a", "d", "c"]], ["c", ["a", "b", "d"]]] as const;
    for (const [leaving, successor] of changes) {
        const site = await runWithChange([["a", "b", "c"], successor], changing => leave(changing, leaving), handOver);
        for (const target of successor) {
            assert.equal(reused(site, target).from, "import", `${target} when ${leaving} leaves`);
            assert.ok(reused(site, target).count >= known, `${target} took over ${reused(site, target).count}`);
            assert.ok(computed(site, target) <= 22, `${target} computed ${computed(site, target)}`);
        }
    }
});

test("nothing is imported when one stage holds nothing", async () => {
    const site = await runWithChange([["a", "b", "c"], ["a", "e", "d"]], changing => changing.kill("c"));
    assert.equal(reused(site, "e").count, 0);
    assert.equal(reused(site, "a").count, 0);
    assert.ok(computed(site, "d") > reference.promptTokens);
});

test("an export that does not arrive in time is computed again", async () => {
    const hang = (changing: TestSite): void => {
        const engine = changing.targets.get("a")?.engine;
        assert.ok(engine !== undefined);
        engine.exportCache = () => new Promise(() => undefined);
        leave(changing, "a");
    };
    const site = await runWithChange([["a", "b", "c"], ["d", "b", "c"]], hang, handOver);
    assert.equal(reused(site, "d").count, 0);
});

test("positions that only an older attempt drew are not used", async () => {
    // The second attempt never starts, so that what the first one drew last may differ from what was delivered.
    const end = (changing: TestSite): void => {
        changing.kill("e");
        leave(changing, "a");
    };
    const site = await runWithChange([["a", "b", "c"], ["d", "b", "e"], ["d", "b", "c"]], end, handOver);
    assert.ok(reused(site, "c").count <= reference.promptTokens, "only the prompt is shared for sure");
});
