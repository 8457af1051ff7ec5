import { referenceAnswer, tokenizeText } from "@waxwingspar/engine";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AgentContext } from "../AgentContext.js";
import { type AgentSettings } from "../AgentSettings.js";
import { chainOf, testPrompt } from "../testing/TestEntry.js";
import { TestRun } from "../testing/TestRun.js";
import { testLayers, TestSite } from "../testing/TestSite.js";
import { importCache } from "./importCache.js";
import { type SessionRecord, SessionTable } from "./SessionTable.js";

const prompt = testPrompt.repeat(6);
const reference = referenceAnswer({ model: "demo", version: "1", layers: testLayers, prompt, maxTokens: 40, seed: 7 });
const sampling = { maxTokens: 40, stop: [], seed: 7 };

/** Number of positions that a target computed in the second attempt. */
function computed(site: TestSite, target: string): number {
    const runs = site.events(target, "layers.run").filter(({ epoch }) => epoch === 1);
    return runs.reduce((sum, { count }) => sum + count, 0);
}

function reused(site: TestSite, target: string): { count: number; from: string; } {
    const [event] = site.events(target, "layers.reused");
    return { count: event?.count ?? 0, from: event?.from ?? "none" };
}

/** Runs a request whose first attempt is ended by `end` after 20 tokens, and which then continues on another chain. */
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
            assert.ok(reused(site, target).count >= known, `${target} imported ${reused(site, target).count}`);
            assert.ok(computed(site, target) <= 22, `${target} computed ${computed(site, target)}`);
        }
    }
});

test("nothing is imported if one stage cannot import", async () => {
    const site = await runWithChange([["a", "b", "c"], ["a", "e", "d"]], changing => changing.kill("c"));
    assert.equal(reused(site, "e").count, 0);
    assert.equal(reused(site, "a").count, 0);
    assert.ok(computed(site, "d") > reference.promptTokens);
});

test("positions are recomputed if the export does not arrive in time", async () => {
    const hang = (changing: TestSite): void => {
        const engine = changing.targets.get("a")?.engine;
        assert.ok(engine !== undefined);
        engine.exportCache = () => new Promise(() => undefined);
        leave(changing, "a");
    };
    const site = await runWithChange([["a", "b", "c"], ["d", "b", "c"]], hang, handOver);
    assert.equal(reused(site, "d").count, 0);
});

test("only positions known to both attempts are imported from an attempt before the previous one", async () => {
    const site = new TestSite();
    const { engine } = await site.start("a");
    const sessions = new SessionTable(engine, site.clock, 1000);
    const range = { first: 0, last: testLayers - 1 };
    const version = { model: "demo", version: "1", ...range };
    const tokens = tokenizeText(prompt);
    const open = async (epoch: number, known: number): Promise<SessionRecord> => {
        const session = `r1/${epoch}`;
        await engine.open({ ...version, session, priority: 1 });
        const record = { ...version, request: "r1", epoch, session, known };
        sessions.add(record);
        return record;
    };
    const old = await open(0, 20);
    const step = engine.step({ session: old.session, position: 0, count: tokens.length, tokens, sample: false });
    await site.clock.advanceAsync(100, 1);
    assert.ok((await step).isOk);
    const context = { sessions, engine, target: "a" } as Partial<AgentContext> as AgentContext;
    const [stage] = chainOf(["a"], testLayers);
    assert.ok(stage !== undefined);
    const sources = { stages: [stage], exporters: [{ ...stage, epoch: 0 }] };
    assert.equal(await importCache(context, await open(1, 40), sources, 0, 40), 40, "from the previous attempt");
    sessions.release("r1/1", false);
    assert.equal(await importCache(context, await open(2, 40), sources, 0, 40), 20, "from an older attempt");
});
