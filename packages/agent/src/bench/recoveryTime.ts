import { FakeEngine, referenceAnswer } from "@waxwingspar/engine";
import { type Address, type Stage, TcpLinkPool } from "@waxwingspar/transport";
import { assert, SystemClock } from "@waxwingspar/utils";
import { TestEntry } from "../lib/testing/TestEntry.js";
import { TestRun } from "../lib/testing/TestRun.js";
import { type BenchAgent, benchCredentials, benchHello, benchLayers, startBenchAgent } from "./benchAgent.js";

// Measures how long a stream stalls when a target of its chain is lost, in several scenarios. Agents with fake engines
// and an entry communicate over real sockets on the loopback address, on the system's clock, in one process. Prints
// one line of JSON for each scenario.
//
// node packages/agent/dist/bench/recoveryTime.js [TRIALS]

const defaultTrials = 15;
const names = ["a", "b", "c", "d"];
const words = 1500;
const tokensBefore = 20;
const tokensAfter = 10;
const model = { model: "demo", version: "1" };
/** The time of one engine batch, and of each further position in it, in milliseconds. */
const engineTimes = { stepTime: 5, prefillTokenTime: 0.05 };

type Event = "kill" | "hang" | "leave" | "restart";

interface Scenario {
    readonly name: string;
    readonly event: Event;
    readonly victim: string;
    /** True if the chain that takes over has the prompt in its prefix caches. */
    readonly warm: boolean;
}

const scenarios: readonly Scenario[] = [
    { name: "stage dies, prompt runs again", event: "kill", victim: "b", warm: false },
    { name: "stage dies, prompt in the prefix caches", event: "kill", victim: "b", warm: true },
    { name: "head dies, prompt in the prefix caches", event: "kill", victim: "a", warm: true },
    { name: "engine hangs, prompt in the prefix caches", event: "hang", victim: "b", warm: true },
    { name: "target leaves, KV cache imported", event: "leave", victim: "b", warm: false },
    { name: "agent restarts beside its engine", event: "restart", victim: "b", warm: true },
];

/** Four targets and an entry. */
class Site {
    readonly clock = new SystemClock();
    readonly engines = new Map<string, FakeEngine>();
    readonly agents = new Map<string, BenchAgent>();
    readonly entry: TestEntry;
    private readonly pool = new TcpLinkPool({ hello: benchHello("entry", "entry"), credentials: benchCredentials });

    constructor() {
        this.entry = new TestEntry({
            pool: this.pool,
            addressOf: target => this.addressOf(target),
            clock: this.clock,
            record: () => undefined,
        });
    }

    async start(name: string, port?: number, incarnation = 1): Promise<void> {
        const held = [{ ...model, first: 0, last: benchLayers - 1 }];
        const engine = this.engines.get(name) ?? new FakeEngine({ clock: this.clock, held, ...engineTimes });
        this.engines.set(name, engine);
        const settings = { handOverAfter: 0, retainCache: 3000 };
        this.agents.set(name, await startBenchAgent({ name, engine, port, incarnation, settings }));
    }

    chain(targets: readonly string[]): Stage[] {
        const depth = benchLayers / targets.length;
        return targets.map((target, index) => ({
            target,
            ...this.addressOf(target),
            first: index * depth,
            last: (index + 1) * depth - 1,
        }));
    }

    async triggerEvent(event: Event, victim: string): Promise<void> {
        const agent = this.agents.get(victim);
        assert(agent !== undefined);
        switch (event) {
            case "kill":
                await agent.kill();
                return;
            case "hang":
                this.engines.get(victim)?.hang();
                return;
            case "leave":
                void agent.agent.leave();
                return;
            case "restart":
                await agent.kill();
                await this.start(victim, agent.port, 2);
        }
    }

    async close(): Promise<void> {
        this.engines.forEach(engine => engine.resume());
        await Promise.all([...this.agents.values()].map(agent => agent.kill()));
        this.pool.close();
    }

    private addressOf(target: string): Address {
        return { host: "127.0.0.1", port: this.agents.get(target)?.port ?? 1 };
    }
}

interface Trial {
    /** The longest interval between two tokens around the event, in milliseconds. */
    readonly gap: number;
    /** The median interval between two tokens before the event, in milliseconds. */
    readonly interval: number;
}

async function runTrial(scenario: Scenario, trial: number): Promise<Trial> {
    const site = new Site();
    await Promise.all(names.map(name => site.start(name)));
    const first = ["a", "b", "c"];
    const second = scenario.event === "restart" ? first : first.map(name => name === scenario.victim ? "d" : name);
    const prompt = `${trial}${scenario.name}${" pump".repeat(words)}`;
    const seed = findSeed(prompt);
    if (scenario.warm) {
        await runThrough(site, second, prompt, "warm");
    }
    const sampling = { maxTokens: tokensBefore + tokensAfter, stop: [], seed };
    const run = new TestRun({
        entry: site.entry,
        request: "measured",
        choose: (_, epoch) => site.chain(epoch === 0 ? first : second),
        changes: { prompt, sampling },
        retryDelay: scenario.event === "restart" ? 5 : 0,
    });
    await until(() => run.ids.length >= tokensBefore);
    const before = run.ids.length;
    await site.triggerEvent(scenario.event, scenario.victim);
    await until(() => run.outcome !== undefined);
    const expected = referenceAnswer({ ...model, layers: benchLayers, prompt, ...sampling });
    assert(run.outcome === "completed" && run.text === expected.text, `${scenario.name}: the answer is complete`);
    assert(run.epoch > 0, `${scenario.name}: the first attempt ended`);
    await site.close();
    const gaps = run.times.slice(1).map((time, index) => time - (run.times[index] ?? 0));
    return { gap: Math.max(...gaps.slice(before - 2, before + 3)), interval: quantile(gaps.slice(0, before - 2), 0.5) };
}

/** Runs a short answer to the prompt, which adds the prompt to the prefix caches. */
async function runThrough(site: Site, targets: readonly string[], prompt: string, request: string): Promise<void> {
    const stages = site.chain(targets);
    const sampling = { maxTokens: 1, stop: [], seed: 1 };
    const run = new TestRun({ entry: site.entry, request, choose: () => stages, changes: { prompt, sampling } });
    await until(() => run.outcome !== undefined);
}

/** Returns a seed with which the fake model's answer has the full length, since it ends some answers early. */
function findSeed(prompt: string): number {
    const maxTokens = tokensBefore + tokensAfter;
    for (let seed = 0;; seed++) {
        if (referenceAnswer({ ...model, layers: benchLayers, prompt, maxTokens, seed }).tokens.length === maxTokens) {
            return seed;
        }
    }
}

async function until(condition: () => boolean): Promise<void> {
    const deadline = performance.now() + 20_000;
    while (!condition()) {
        assert(performance.now() < deadline, "the condition is met within 20 s");
        await new Promise(resolve => setTimeout(resolve, 1));
    }
}

function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function round(value: number): number {
    return Math.round(value * 10) / 10;
}

const trials = Number(process.argv[2] ?? defaultTrials);
for (const scenario of scenarios) {
    const results: Trial[] = [];
    for (let trial = 0; trial < trials; trial++) {
        results.push(await runTrial(scenario, trial));
    }
    const gaps = results.map(({ gap }) => gap);
    const interval = quantile(results.map(result => result.interval), 0.5);
    const figures = {
        way: scenario.name,
        trials,
        medianGap: round(quantile(gaps, 0.5)),
        p95Gap: round(quantile(gaps, 0.95)),
        tokenInterval: round(interval),
        medianGapInIntervals: round(quantile(gaps, 0.5) / interval),
    };
    process.stdout.write(`${JSON.stringify(figures)}\n`);
}
process.exit(0);
