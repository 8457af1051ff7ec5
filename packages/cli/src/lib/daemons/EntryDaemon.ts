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
import { ConfigurationPart } from "../nodes/ConfigurationPart.js";
import { ControlPart } from "../nodes/ControlPart.js";
import { EntryNode } from "../nodes/EntryNode.js";
import { createEntryMetrics, createReclaimObserver } from "../nodes/metrics.js";
import { ProcessLinks } from "../nodes/ProcessLinks.js";
import { createMetricsHandler } from "../operators/createMetricsHandler.js";
import { type Settings } from "../settings/loadSettings.js";
import { type DaemonBase } from "./DaemonBase.js";
import { entryPartOf } from "./entryPartOf.js";

/**
 * The entry as a process: settings, clock and sockets around the library classes.
 *
 * @internal
 */
export class EntryDaemon {
    private readonly links: ProcessLinks;
    private readonly part: ConfigurationPart;
    private readonly control: ControlPart;
    private readonly claims: ClaimRouter;
    private readonly node: EntryNode;
    private readonly api: ResourceApi;
    /** The entries that serve claims; replaced when they change. */
    private owners: readonly ClaimOwner[] = [];

    /** This entry's part of the limits of organisations; replaced when the entries change. */
    private entryPart: EntryPart = { index: 0, count: 1 };

    constructor(private readonly base: DaemonBase, settings: Settings<"entry">) {
        const { clock, random, store, liveList, objects, registry, nodeOptions } = base;
        this.links = new ProcessLinks(nodeOptions, "entry");
        const { pool } = this.links;
        this.part = new ConfigurationPart({
            ...nodeOptions,
            role: "entry",
            store,
            liveList,
            pool,
            seeds: settings.seeds,
        });
        this.control = new ControlPart({ ...nodeOptions, store, pool, part: this.part });
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
                onRecovery: createReclaimObserver(registry, nodeOptions.logger),
            },
        });
        this.claims = new ClaimRouter({
            process: settings.name,
            owners: () => this.owners,
            journals,
            links: pool,
            clock,
        });
        const leftClaims = new FinalClaimsStore({ objects, clock });
        this.node = new EntryNode({
            ...nodeOptions,
            processLinks: this.links,
            callers: settings.callers,
            configuration: this.part.node,
            claims: this.claims,
            findLeft: claim => leftClaims.find(claim),
            anonymousOrganisation: settings.anonymousOrganisation,
            part: () => this.entryPart,
            limits: settings.limits,
            metrics: createEntryMetrics(registry),
        });
        registry.gauge({ name: "waxwingspar_open_requests", help: "Requests in progress." })
            .observe(() => this.node.entry.openRequests);
        this.links.offer({
            ...this.part.methods(),
            ...claimMethods(journals),
            ...reportMethods(request => journals.report(request)),
        });
        this.links.onLink(link => this.part.membership.recordHello(link.peer));
        this.part.membership.onChange(() => this.membersChanged());
        this.api = new ResourceApi({
            ...settings.operators,
            node: this.part.node,
            store: this.part.resources,
            clock,
            bootstrapTokenHash: settings.operatorTokenHash,
            handlers: { "/metrics": createMetricsHandler(registry) },
        });
    }

    /** Starts to listen; takes callers once the configuration is known. */
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
     * @returns How many requests were cut off.
     */
    async stop(): Promise<number> {
        await this.control.stop();
        await this.part.stop();
        const interrupted = await this.node.stop();
        await this.api.close();
        await this.base.close();
        return interrupted;
    }

    /** The other entries and agents: those that the list shows or showed lately, and the targets of the configuration. */
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

    private membersChanged(): void {
        const { membership } = this.part;
        const { router } = this.node;
        membership.members()
            .filter(({ role }) => role === "agent")
            .forEach(({ process, state }) => router.setLeaving(process, state === "leaving"));
        const names = membership.entries({ unreachable: true }).map(({ process }) => process);
        this.entryPart = entryPartOf(this.base.nodeOptions.name, names);
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
