import {
    ClaimJournals,
    claimMethods,
    type ClaimOwner,
    ClaimRouter,
    createReportCollector,
    FinalClaimsStore,
    type ReportingProcess,
    reportMethods,
} from "@waxwingspar/claims";
import { type Member, ResourceApi } from "@waxwingspar/config";
import { type EntryPart } from "@waxwingspar/policy";
import { type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { ConfigurationComponent } from "../nodes/ConfigurationComponent.js";
import { ControlComponent } from "../nodes/ControlComponent.js";
import { EntryNode } from "../nodes/EntryNode.js";
import { createClaimRecoveryObserver, createEntryMetrics } from "../nodes/metrics.js";
import { ProcessLinks } from "../nodes/ProcessLinks.js";
import { createMetricsHandler } from "../operators/createMetricsHandler.js";
import { type Settings } from "../settings/loadSettings.js";
import { type DaemonBase } from "./DaemonBase.js";
import { findEntryPart } from "./findEntryPart.js";

/**
 * The entry process: connects settings, clock and sockets to the library classes.
 *
 * @internal
 */
export class EntryDaemon {
    private readonly links: ProcessLinks;
    /** The configuration component of the process. */
    private readonly part: ConfigurationComponent;
    private readonly control: ControlComponent;
    private readonly claims: ClaimRouter;
    private readonly node: EntryNode;
    private readonly api: ResourceApi;
    /** The entries that own partitions of claims; replaced when the membership changes. */
    private owners: readonly ClaimOwner[] = [];

    /** Determines this entry's share of the limits of organisations; replaced when the membership changes. */
    private entryPart: EntryPart = { index: 0, count: 1 };

    constructor(private readonly base: DaemonBase, settings: Settings<"entry">) {
        const { clock, random, store, liveList, objects, registry, nodeOptions } = base;
        this.links = new ProcessLinks(nodeOptions, "entry");
        const { pool } = this.links;
        this.part = new ConfigurationComponent({
            ...nodeOptions,
            role: "entry",
            store,
            liveList,
            pool,
            seeds: settings.seeds,
        });
        this.control = new ControlComponent({ ...nodeOptions, store, pool, part: this.part });
        const journals: ClaimJournals = new ClaimJournals({
            table: base.claimStore,
            objects,
            clock,
            random,
            writesPerSecond: settings.platform.claimWritesPerSecond,
            journal: {
                collectReports: createReportCollector({
                    processes: () => this.reportingProcesses(),
                    own: request => journals.report(request),
                    links: pool,
                }),
                onRecovery: createClaimRecoveryObserver(registry, nodeOptions.logger),
            },
        });
        this.claims = new ClaimRouter({
            process: settings.name,
            owners: () => this.owners,
            journals,
            links: pool,
            clock,
        });
        const finalClaims = new FinalClaimsStore({ objects, clock });
        this.node = new EntryNode({
            ...nodeOptions,
            processLinks: this.links,
            callers: settings.callers,
            configuration: this.part.node,
            claims: this.claims,
            findFinalOutcome: claim => finalClaims.find(claim),
            anonymousOrganisation: settings.anonymousOrganisation,
            part: () => this.entryPart,
            limits: settings.limits,
            metrics: createEntryMetrics(registry),
        });
        registry.gauge({ name: "waxwingspar_open_requests", help: "Requests in progress." })
            .observe(() => this.node.entry.openRequests);
        this.links.registerMethods({
            ...this.part.methods(),
            ...claimMethods(journals),
            ...reportMethods(request => journals.report(request)),
        });
        this.links.onLink(link => this.part.membership.recordHello(link.peer));
        this.part.membership.onChange(() => this.updateMembers());
        this.api = new ResourceApi({
            ...settings.operators,
            node: this.part.node,
            store: this.part.resources,
            clock,
            bootstrapTokenHash: settings.operatorTokenHash,
            handlers: { "/metrics": createMetricsHandler(registry) },
        });
    }

    /** Starts to listen; callers are accepted once the configuration is known, which loads in the background. */
    async start(): Promise<Outcome<void>> {
        const operators = await this.api.listen();
        if (operators.isErr) {
            return Result.err(operators.error);
        }
        const links = await this.links.listen();
        if (links.isErr) {
            return Result.err(links.error);
        }
        const callers = await this.node.start();
        void this.part.node.start();
        this.control.start();
        return callers.map(() => undefined);
    }

    /**
     * Stops gracefully.
     *
     * @returns The number of requests that were interrupted.
     */
    async stop(): Promise<number> {
        await this.control.stop();
        await this.part.stop();
        const interrupted = await this.node.stop();
        await this.api.close();
        await this.base.close();
        return interrupted;
    }

    /**
     * The other processes that report claims: the members that the live list shows or recently showed, and the targets
     * of the configuration. Undefined until the live list has been read.
     */
    private reportingProcesses(): readonly ReportingProcess[] | undefined {
        const { membership, node } = this.part;
        if (!Number.isFinite(membership.listAge)) {
            return undefined;
        }
        const targets = node.list("target").map(({ name, spec: { host, port } }): ReportingProcess => {
            return { process: name, address: { host, port }, isLive: false };
        });
        const members = membership.members().map(({ process, host, port }): ReportingProcess => {
            return { process, address: { host, port }, isLive: true };
        });
        const byName = new Map([...targets, ...members].map(process => [process.process, process]));
        byName.delete(this.base.nodeOptions.name);
        return [...byName.values()];
    }

    private updateMembers(): void {
        const { membership } = this.part;
        const { router } = this.node;
        membership.members()
            .filter(({ role }) => role === "agent")
            .forEach(({ process, state }) => router.setLeaving(process, state === "leaving"));
        const names = membership.entries({ unreachable: true }).map(({ process }) => process);
        this.entryPart = findEntryPart(this.base.nodeOptions.name, names);
        const owners = membership.entries().map(toOwner);
        if (JSON.stringify(owners) !== JSON.stringify(this.owners)) {
            this.owners = owners;
            void this.claims.maintain();
        }
    }
}

function toOwner({ process, host, port }: Member): ClaimOwner {
    return { process, address: { host, port } };
}
