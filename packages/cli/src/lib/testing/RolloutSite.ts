import { TableClaims } from "@waxwingspar/claims";
import { createObserveMethod, observeMethodName, ordersDuty, readFence } from "@waxwingspar/control";
import { FakeEngine } from "@waxwingspar/engine";
import { checkHistory, type HistoryEvent, type HistoryLine, type HistoryRecorder } from "@waxwingspar/history";
import { MemoryLiveList, MemoryTableStore } from "@waxwingspar/stores";
import { createLogger, createTracing } from "@waxwingspar/telemetry";
import { type Address } from "@waxwingspar/transport";
import { seededRandom, SystemClock } from "@waxwingspar/utils";
import { randomBytes } from "node:crypto";
import { setTimeout as pause } from "node:timers/promises";
import { AgentNode } from "../nodes/AgentNode.js";
import { ConfigurationComponent } from "../nodes/ConfigurationComponent.js";
import { ControlComponent } from "../nodes/ControlComponent.js";
import { EntryNode } from "../nodes/EntryNode.js";
import { createIncarnation, type NodeOptions } from "../nodes/NodeOptions.js";
import { ProcessLinks } from "../nodes/ProcessLinks.js";
import { applyDocuments } from "../site/seedResources.js";
import { freePorts } from "./freePorts.js";

/** The model, with three stages. A target has memory for the layers of one stage in 2 versions. @internal */
export const rolloutModel = { name: "demo", layers: 6, replicas: 2 } as const;

const dataCentre = "dc1";
const host = "127.0.0.1";
const layerBytes = 1_000_000;
const targetMemory = 4_000_000;
const targetCount = 7;
/** Bytes per second: three layers load in a third of a second. */
const loadRate = 10_000_000;
/** Milliseconds. */
const times = { duration: 1500, interval: 50, drainDelay: 1500, observeInterval: 50 };
/** Milliseconds. */
const waitTimeout = 60_000;
const pollInterval = 20;

interface SiteAgent {
    readonly name: string;
    readonly engine: FakeEngine;
    readonly node: AgentNode;
    readonly part: ConfigurationComponent;
    readonly control: ControlComponent;
}

/**
 * A site that covers the whole path from an operator's change to the engines: configuration, membership, control duty,
 * agents with fake engines, and an entry, connected by links on loopback and one in-memory table store.
 *
 * @internal
 */
export class RolloutSite {
    readonly agents: SiteAgent[] = [];
    readonly history: HistoryLine[] = [];
    private readonly clock = new SystemClock();
    private readonly store = new MemoryTableStore({ clock: this.clock });
    private readonly liveList = new MemoryLiveList({ clock: this.clock });
    private readonly credentials = { keys: [{ id: "site", secret: randomBytes(32).toString("hex") }] };
    private readonly tracing = createTracing({ process: "rollout" });
    private readonly sequences = new Map<string, number>();
    private entry: { node: EntryNode; part: ConfigurationComponent; address: Address; } | undefined;

    /** Starts all nodes, applies the targets and the model's first version, and waits until the model is served. */
    async start(): Promise<void> {
        const [entryPort = 0, ...ports] = await freePorts(targetCount + 1);
        for (const [index, port] of ports.entries()) {
            await this.startAgent(`target-${index + 1}`, port, index);
        }
        await this.startEntry(entryPort);
        await this.declare([
            { kind: "organisation", name: "callers", spec: {} },
            modelDocument("v1"),
            ...this.agents.map(({ name }, index) => targetDocument(name, ports[index] ?? 0)),
        ]);
        await this.until("the first version serves", () => this.servesOnly("v1"));
    }

    /** Stops all nodes. */
    async stop(): Promise<void> {
        await Promise.all(this.agents.map(({ control }) => control.stop()));
        await this.entry?.part.stop();
        await this.entry?.node.stop();
        await Promise.all(this.agents.map(async ({ node, part }) => {
            await part.stop();
            await node.stop();
        }));
        await this.tracing.shutdown();
    }

    /** Makes a version the current one, as an operator's change does. */
    async setCurrent(version: string): Promise<void> {
        await this.declare([modelDocument(version)]);
    }

    /** Stops the control component of the current duty holder. @returns The holder's name. */
    async stopDutyHolder(): Promise<string> {
        await this.until("an agent holds the duty", () => this.agents.some(({ control }) => control.holding));
        const holder = this.agents.find(({ control }) => control.holding)!;
        await holder.control.stop();
        return holder.name;
    }

    /** Returns the number of ready pipelines of a version that the entry knows. */
    readyPipelines(version: string): number {
        const placements = this.entry?.part.node.list("placement") ?? [];
        return placements.filter(({ spec }) => spec.version === version && spec.ready).length;
    }

    /** Returns the number of stages of each pipeline. */
    stageCounts(): number[] {
        return (this.entry?.part.node.list("placement") ?? []).map(({ spec }) => spec.stages.length);
    }

    /** Whether all replicas of a version's pipeline are ready, and there are no other pipelines. */
    servesOnly(version: string): boolean {
        const placements = this.entry?.part.node.list("placement") ?? [];
        return this.readyPipelines(version) === rolloutModel.replicas && placements.length === rolloutModel.replicas;
    }

    /** Returns the versions of which the engines hold layers. */
    async heldVersions(): Promise<string[]> {
        const infos = await Promise.all(this.agents.map(({ engine }) => engine.info()));
        const held = infos.flatMap(info => info.isOk ? info.value.held.map(({ version }) => version) : []);
        return [...new Set(held)].sort();
    }

    /** Waits until a condition holds. @throws Error after a timeout. */
    async until(what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
        for (let waited = 0; !await holds(); waited += pollInterval) {
            if (waited > waitTimeout) {
                throw new Error(`timed out after ${waitTimeout} ms waiting until ${what}`);
            }
            await pause(pollInterval);
        }
    }

    /** Sends a completion request. @returns The status and the text, or the code of the failure. */
    async complete(prompt: string, maxTokens: number): Promise<{ status: number; text: string; }> {
        const { host: name, port } = this.entry!.address;
        const response = await fetch(`http://${name}:${port}/v1/completions`, {
            method: "POST",
            headers: { "Content-Type": "application/json" },
            body: JSON.stringify({ model: rolloutModel.name, prompt, max_tokens: maxTokens }),
        });
        const body = await response.text();
        const text = response.ok ? (JSON.parse(body) as { choices: { text: string; }[]; }).choices[0]!.text : body;
        return { status: response.status, text };
    }

    /** Checks the history of all nodes. Must be called after {@link RolloutSite.stop}. @returns The violations. */
    violations(): string[] {
        return checkHistory(this.history).violations.map(({ rule, message }) => `${rule}: ${message}`);
    }

    private async declare(documents: readonly unknown[]): Promise<void> {
        const applied = await applyDocuments(documents, this.entry!.part.resources);
        if (applied.isErr) {
            throw new Error(applied.error.message);
        }
    }

    private async startAgent(name: string, port: number, seed: number): Promise<void> {
        const { store, liveList, clock } = this;
        const options = this.nodeOptions(name, port, seed, name);
        const processLinks = new ProcessLinks(options, "agent");
        const { pool } = processLinks;
        const part = new ConfigurationComponent({ ...options, role: "agent", store, liveList, pool, seeds: [] });
        const control = new ControlComponent({ ...options, store, pool, part, times });
        const engine = new FakeEngine({ clock, memory: targetMemory, loadRate, stepTime: 2 });
        const node = new AgentNode({
            ...options,
            processLinks,
            engine,
            configuration: part.node,
            slots: 32,
            readFence: () => readFence(store, ordersDuty(dataCentre)),
        });
        const observe = createObserveMethod({
            engine,
            noteFence: fence => node.agent.noteFence(fence),
            inUse: () => node.agent.inUse(),
        });
        processLinks.registerMethods({ ...part.methods(), [observeMethodName]: observe });
        processLinks.onLink(link => part.membership.recordHello(link.peer));
        await node.start();
        this.join(name, "agent", port);
        void part.node.start();
        control.start();
        this.agents.push({ name, engine, node, part, control });
    }

    private async startEntry(port: number): Promise<void> {
        const { store, liveList } = this;
        const options = this.nodeOptions("entry-1", port, targetCount);
        const processLinks = new ProcessLinks(options, "entry");
        const { pool } = processLinks;
        const part = new ConfigurationComponent({ ...options, role: "entry", store, liveList, pool, seeds: [] });
        processLinks.registerMethods(part.methods());
        processLinks.onLink(link => part.membership.recordHello(link.peer));
        const node = new EntryNode({
            ...options,
            processLinks,
            callers: { host, port: 0 },
            configuration: part.node,
            claims: new TableClaims(store),
            anonymousOrganisation: "callers",
            limits: { stopLead: 0 },
        });
        await processLinks.listen();
        const address = await node.start();
        if (address.isErr) {
            throw new Error(address.error.message);
        }
        this.join("entry-1", "entry", port);
        void part.node.start();
        this.entry = { node, part, address: address.value };
    }

    private join(process: string, role: "agent" | "entry", port: number): void {
        this.liveList.set({ process, role, host, port, dataCentre, region: "local", state: "live" });
    }

    private nodeOptions(name: string, port: number, seed: number, target?: string): NodeOptions {
        const incarnation = createIncarnation();
        return {
            name,
            incarnation,
            dataCentre,
            region: "local",
            links: { host, port },
            credentials: this.credentials,
            clock: this.clock,
            random: seededRandom(seed),
            logger: createLogger({ process: name, level: "silent" }),
            tracer: this.tracing.tracer,
            record: this.recorderFor(name, incarnation, target),
        };
    }

    private recorderFor(process: string, incarnation: string, target: string | undefined): HistoryRecorder {
        const record = (body: HistoryEvent) => {
            const sequence = this.sequences.get(process) ?? 0;
            this.sequences.set(process, sequence + 1);
            this.history.push({ process, incarnation, sequence, time: this.clock.now(), body });
        };
        record({ event: "process.started", target });
        return record;
    }
}

function modelDocument(current: string): object {
    const { name, layers, replicas } = rolloutModel;
    // The fake engines share the processor with the other tests, so the bound is long enough never to matter.
    const firstTokenBound = waitTimeout;
    const spec = { layers, versions: ["v1", "v2"], current, layerBytes, replicas, firstTokenBound };
    return { kind: "model", name, spec };
}

function targetDocument(name: string, port: number): object {
    const accelerator = { kind: "generic", memory: targetMemory };
    return { kind: "target", name, spec: { host, port, dataCentre, accelerator, checksFence: true } };
}
