import { type Configuration, resource, StaticConfiguration } from "@waxwingspar/config";
import { FakeEngine, type FakeEngineOptions } from "@waxwingspar/engine";
import { checkHistory, type HistoryEvent, type HistoryLine, type HistoryRecorder } from "@waxwingspar/history";
import { createWorkQueue, type WorkQueue } from "@waxwingspar/policy";
import { ManualClock } from "@waxwingspar/utils";
import { Agent, type AgentOptions } from "../Agent.js";
import { TestEntry } from "./TestEntry.js";
import { testHello, type TestHost, TestNetwork } from "./TestNetwork.js";

/** Number of layers of the model of the test site. @internal */
export const testLayers = 12;

/** An agent of a test site with its engine. @internal */
export interface TestTarget {
    readonly name: string;
    readonly agent: Agent;
    readonly engine: FakeEngine;
    readonly queue: WorkQueue;
    readonly history: HistoryEvent[];
}

/** @internal */
export interface TestTargetOptions {
    readonly agent?: Partial<AgentOptions>;
    readonly engine?: Partial<FakeEngineOptions>;
    readonly incarnation?: string;
    /** Layers that the engine holds; all by default. */
    readonly first?: number;
    readonly last?: number;
    readonly slots?: number;
}

/**
 * Agents with fake engines, and an entry, connected in memory and driven by a manual clock.
 *
 * @internal
 */
export class TestSite {
    readonly clock = new ManualClock();
    readonly network: TestNetwork;
    readonly entry: TestEntry;
    readonly configuration: Configuration;
    readonly targets = new Map<string, TestTarget>();
    /** The histories of all processes, in the order of the events. */
    readonly history: HistoryLine[] = [];
    private readonly sequences = new Map<string, number>();

    constructor(delay = 0) {
        this.network = new TestNetwork(this.clock, delay);
        this.entry = this.createEntry("entry");
        const configuration = new StaticConfiguration();
        configuration.set([
            resource("model", "demo", {
                layers: testLayers,
                versions: ["1"],
                current: "1",
                layerBytes: 1,
                activationBytes: 8,
                replicas: 1,
                firstTokenBound: 540,
                tokenBound: 72,
                contextTokens: 8192,
            }),
        ]);
        this.configuration = configuration;
    }

    createEntry(name: string): TestEntry {
        const host: TestHost = { hello: testHello(name, "entry"), methods: () => ({}), accept: () => undefined };
        return new TestEntry({
            pool: this.network.createPool(host),
            addressOf: target => ({ host: target, port: 1 }),
            clock: this.clock,
            record: this.createRecorder(name, `${name}-1`),
        });
    }

    /** Starts an agent. Starting the same name again is a restart at the same address. */
    async start(name: string, options: TestTargetOptions = {}): Promise<TestTarget> {
        const { first = 0, last = testLayers - 1, slots = 64 } = options;
        const hello = testHello(name, "agent", options.incarnation);
        const recorder = this.createRecorder(name, hello.incarnation);
        recorder({ event: "process.started", target: name });
        const held = [{ model: "demo", version: "1", first, last }];
        const engine = new FakeEngine({ clock: this.clock, held, ...options.engine });
        const queue = createWorkQueue({ clock: this.clock, slots });
        const history: HistoryEvent[] = [];
        const host: TestHost = { hello, methods: () => agent.methods, accept: link => agent.accept(link) };
        const agent: Agent = new Agent({
            target: name,
            hello,
            engine,
            queue,
            pool: this.network.createPool(host),
            configuration: this.configuration,
            clock: this.clock,
            record: event => {
                history.push(event);
                recorder(event);
            },
            ...options.agent,
        });
        this.network.listen(host);
        await agent.start();
        const target = { name, agent, engine, queue, history };
        this.targets.set(name, target);
        return target;
    }

    /** Starts several agents that hold every layer. */
    async startAll(names: readonly string[], options: TestTargetOptions = {}): Promise<TestTarget[]> {
        return Promise.all(names.map(name => this.start(name, options)));
    }

    /** Returns the events of one kind that a target recorded. */
    events<Name extends HistoryEvent["event"]>(target: string, event: Name): Extract<HistoryEvent, { event: Name; }>[] {
        const history = this.targets.get(target)?.history ?? [];
        return history.filter((body): body is Extract<HistoryEvent, { event: Name; }> => body.event === event);
    }

    /** Checks the histories of all processes, which are complete since they are kept in memory. */
    violations(): string[] {
        const lines = [...this.history];
        this.sequences.forEach((sequence, key) => {
            const [process = "", incarnation = ""] = key.split("\n");
            const time = this.clock.now();
            lines.push({ process, incarnation, sequence, time, body: { event: "history.closed" } });
        });
        return checkHistory(lines).violations.map(({ rule, message }) => `${rule}: ${message}`);
    }

    private createRecorder(process: string, incarnation: string): HistoryRecorder {
        const key = `${process}\n${incarnation}`;
        this.sequences.set(key, 0);
        return body => {
            const sequence = this.sequences.get(key) ?? 0;
            this.sequences.set(key, sequence + 1);
            this.history.push({ process, incarnation, sequence, time: this.clock.now(), body });
        };
    }

    /** Simulates the death of a target together with its agent. */
    kill(name: string): void {
        this.targets.get(name)?.engine.crash();
        this.network.kill(name);
    }

    /** Advances the clock, settling promises at each step, until a condition holds or the limit is reached. */
    async until(condition: () => boolean, limit = 60_000): Promise<void> {
        for (let passed = 0; passed < limit && !condition(); passed++) {
            await this.clock.advanceAsync(1, 1);
        }
    }
}
