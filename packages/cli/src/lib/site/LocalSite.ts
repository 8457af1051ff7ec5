import { TableClaims } from "@waxwingspar/claims";
import { type ApiNode, ResourceApi, ResourceStore, RevisionState, StoreLog } from "@waxwingspar/config";
import { FakeEngine } from "@waxwingspar/engine";
import { FileRecorder, type HistoryRecorder } from "@waxwingspar/history";
import { MemoryTableStore } from "@waxwingspar/stores";
import { createTracing, MetricRegistry, type Tracing } from "@waxwingspar/telemetry";
import { type Address, type LinkCredentials } from "@waxwingspar/transport";
import { type Clock, type Outcome, type Random } from "@waxwingspar/utils";
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import { type Logger } from "pino";
import { Result } from "true-myth";
import { AgentNode } from "../nodes/AgentNode.js";
import { EntryNode } from "../nodes/EntryNode.js";
import { createAgentMetrics, createClaimRecoveryObserver, createEntryMetrics } from "../nodes/metrics.js";
import { createIncarnation, type NodeOptions } from "../nodes/NodeOptions.js";
import { ProcessLinks } from "../nodes/ProcessLinks.js";
import { createMetricsHandler } from "../operators/createMetricsHandler.js";
import { RecordsService } from "./RecordsService.js";
import { applyDocuments } from "./seedResources.js";
import {
    demoModel,
    demoStages,
    localOrganisation,
    recordsService,
    siteResources,
    type SiteTarget,
} from "./siteResources.js";

/** @internal */
export interface LocalSiteOptions {
    readonly callers: Address;
    readonly operators: Address;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    /** The folder that receives one history file per node; if absent, no history is recorded. */
    readonly historyFolder?: string;
    /** Targets per stage of the model. Default 2. */
    readonly replicas?: number;
    /** Milliseconds that a fake engine takes for one batch. Default 5. */
    readonly stepTime?: number;
    /** Tracing for all nodes. By default nothing is traced. */
    readonly tracing?: Tracing;
}

/** An agent of the site with its engine and history. @internal */
export interface SiteAgent {
    readonly name: string;
    readonly stage: number | undefined;
    readonly node: AgentNode;
    readonly engine: FakeEngine;
    readonly recorder: FileRecorder | undefined;
    killed: boolean;
}

/** @internal */
export interface SiteAddresses {
    readonly callers: Address;
    readonly operators: Address;
}

/** Milliseconds between reporting "not ready" and closing the listener: no load balancer needs to notice it. */
const stopLead = 0;

/**
 * A small but complete site in one process: embedded platform, fake engines, agents, an entry and the records service.
 * They communicate over real links on loopback.
 *
 * @internal
 */
export class LocalSite {
    readonly agents: SiteAgent[] = [];
    readonly registry: MetricRegistry;
    readonly historyFiles: string[] = [];
    private readonly store: MemoryTableStore;
    private readonly configuration = new RevisionState();
    private readonly resources: ResourceStore;
    private readonly credentials: LinkCredentials;
    private readonly tracing: Tracing;
    private readonly recorders: FileRecorder[] = [];
    private readonly api: ResourceApi;
    private entry: EntryNode | undefined;
    private records: RecordsService | undefined;
    private ready = false;
    private stopping: Promise<number> | undefined;

    constructor(private readonly options: LocalSiteOptions) {
        const { clock, operators } = options;
        this.store = new MemoryTableStore({ clock });
        this.tracing = options.tracing ?? createTracing({ process: "local" });
        const log = new StoreLog(this.store);
        this.resources = new ResourceStore({ log, state: this.configuration, clock, random: options.random });
        this.registry = new MetricRegistry(clock);
        this.credentials = { keys: [{ id: "local", secret: randomBytes(32).toString("hex") }] };
        this.api = new ResourceApi({
            ...operators,
            node: this.createApiNode(),
            store: this.resources,
            clock,
            allowAnonymous: true,
            handlers: { "/metrics": createMetricsHandler(this.registry) },
        });
    }

    /** Starts the site. @returns The addresses for callers and operators, or the failure that kept it from starting. */
    async start(): Promise<Outcome<SiteAddresses>> {
        const targets = await this.startAgents();
        if (targets.isErr) {
            return Result.err(targets.error);
        }
        const declared = await applyDocuments(siteResources(targets.value), this.resources);
        if (declared.isErr) {
            return Result.err(declared.error);
        }
        const callers = await this.startEntry();
        if (callers.isErr) {
            return Result.err(callers.error);
        }
        const port = await this.api.listen();
        this.ready = port.isOk;
        const { host } = this.options.operators;
        return port.map(chosen => ({ callers: callers.value, operators: { host, port: chosen } }));
    }

    /**
     * Stops gracefully: the entry first, so that requests in progress can end. Further calls return the same promise.
     *
     * @returns The number of requests that were interrupted.
     */
    stop(): Promise<number> {
        this.stopping ??= this.runStop();
        return this.stopping;
    }

    /** Simulates the crash of an agent's host: no further message is sent and no further history is recorded. */
    async kill(agent: SiteAgent): Promise<void> {
        agent.killed = true;
        agent.engine.crash();
        await agent.node.kill();
    }

    private async runStop(): Promise<number> {
        this.ready = false;
        const cut = await this.entry?.stop() ?? 0;
        const living = this.agents.filter(agent => !agent.killed);
        const cuts = await Promise.all(living.map(agent => agent.node.stop()));
        await this.records?.close();
        await this.api.close();
        await this.tracing.shutdown();
        await Promise.all(this.recorders.map(recorder => recorder.close()));
        return cuts.reduce((sum, count) => sum + count, cut);
    }

    /** Creates the API's view of the site. In a single process, an accepted revision is in force immediately. */
    private createApiNode(): ApiNode {
        const isReady = () => this.ready;
        return {
            state: this.configuration,
            get ready() {
                return isReady();
            },
            age: 0,
            progress: revision => Promise.resolve({ revision, hosts: 1, behindCount: 0, behind: [] }),
        };
    }

    private async startAgents(): Promise<Outcome<SiteTarget[]>> {
        const targets: SiteTarget[] = [];
        const metrics = createAgentMetrics(this.registry);
        for (const { name, stage } of this.plannedAgents()) {
            const started = await this.startAgent(name, stage, metrics);
            if (started.isErr) {
                return Result.err(started.error);
            }
            targets.push({ name, stage, address: started.value });
        }
        return Result.ok(targets);
    }

    private plannedAgents(): { name: string; stage: number | undefined; }[] {
        const replicas = Array.from({ length: this.options.replicas ?? 2 }, (_, index) => index + 1);
        const stages = demoStages.flatMap((_, stage) =>
            replicas.map(replica => ({ name: `stage-${stage + 1}-${replica}`, stage }))
        );
        return [...stages, { name: `${recordsService}-1`, stage: undefined }];
    }

    private async startAgent(
        name: string,
        stage: number | undefined,
        metrics: ReturnType<typeof createAgentMetrics>,
    ): Promise<Outcome<Address>> {
        const incarnation = createIncarnation();
        const opened = await this.openRecorder(name, incarnation, name);
        if (opened.isErr) {
            return Result.err(opened.error);
        }
        const engine = this.createEngine(stage);
        const agent: Omit<SiteAgent, "node"> = { name, stage, engine, recorder: opened.value, killed: false };
        const record: HistoryRecorder = event => this.recordUnlessKilled(name, opened.value?.record, event);
        const nodeOptions = { ...this.nodeOptions(name, incarnation), record };
        const node = new AgentNode({
            ...nodeOptions,
            processLinks: new ProcessLinks(nodeOptions, "agent"),
            engine,
            configuration: this.configuration,
            slots: 32,
            service: stage === undefined ? await this.startRecords(opened.value?.record) : undefined,
            metrics,
        });
        this.agents.push({ ...agent, node });
        return node.start();
    }

    private async startRecords(record: HistoryRecorder = () => undefined): Promise<{ name: string; baseUrl: string; }> {
        this.records = new RecordsService(record);
        return { name: recordsService, baseUrl: await this.records.listen() };
    }

    private createEngine(stage: number | undefined): FakeEngine {
        const { clock, random, stepTime } = this.options;
        const range = stage === undefined ? undefined : demoStages[stage];
        const held = range === undefined ? [] : [{ model: demoModel.name, version: demoModel.version, ...range }];
        return new FakeEngine({ clock, random, held, stepTime });
    }

    private async startEntry(): Promise<Outcome<Address>> {
        const name = "entry-1";
        const incarnation = createIncarnation();
        const opened = await this.openRecorder(name, incarnation);
        if (opened.isErr) {
            return Result.err(opened.error);
        }
        const record = opened.value?.record ?? (() => undefined);
        const nodeOptions = { ...this.nodeOptions(name, incarnation), record };
        const entry = new EntryNode({
            ...nodeOptions,
            processLinks: new ProcessLinks(nodeOptions, "entry"),
            callers: this.options.callers,
            configuration: this.configuration,
            claims: new TableClaims(this.store, this.options.clock, {
                onRecovery: createClaimRecoveryObserver(this.registry, nodeOptions.logger),
            }),
            anonymousOrganisation: localOrganisation,
            limits: { stopLead },
            metrics: createEntryMetrics(this.registry),
        });
        this.entry = entry;
        this.registry.gauge({ name: "waxwingspar_open_requests", help: "Requests in progress." })
            .observe(() => entry.entry.openRequests);
        return entry.start();
    }

    private nodeOptions(name: string, incarnation: string): Omit<NodeOptions, "record"> {
        const { clock, random, logger } = this.options;
        return {
            name,
            incarnation,
            dataCentre: "local",
            region: "local",
            links: { host: "127.0.0.1", port: 0 },
            credentials: this.credentials,
            clock,
            random,
            logger: logger.child({ process: name }),
            tracer: this.tracing.tracer,
        };
    }

    private async openRecorder(
        name: string,
        incarnation: string,
        target?: string,
    ): Promise<Outcome<FileRecorder | undefined>> {
        const { historyFolder, clock } = this.options;
        if (historyFolder === undefined) {
            return Result.ok(undefined);
        }
        const path = join(historyFolder, `${name}.jsonl`);
        const opened = await FileRecorder.open({ clock, path, process: name, incarnation, target });
        if (opened.isOk) {
            this.recorders.push(opened.value);
            this.historyFiles.push(path);
        }
        return opened;
    }

    private recordUnlessKilled(
        name: string,
        record: HistoryRecorder | undefined,
        event: Parameters<HistoryRecorder>[0],
    ): void {
        if (this.agents.find(agent => agent.name === name)?.killed !== true) {
            record?.(event);
        }
    }
}
