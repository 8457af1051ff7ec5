import { FinalClaimsStore } from "@waxwingspar/claims";
import { createObserveMethod, observeMethodName, ordersDuty, readFence } from "@waxwingspar/control";
import { HttpEngine } from "@waxwingspar/engine";
import { type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { AgentNode } from "../nodes/AgentNode.js";
import { ConfigurationComponent } from "../nodes/ConfigurationComponent.js";
import { ControlComponent } from "../nodes/ControlComponent.js";
import { createAgentMetrics } from "../nodes/metrics.js";
import { ProcessLinks } from "../nodes/ProcessLinks.js";
import { OperatorsServer } from "../operators/OperatorsServer.js";
import { type Settings } from "../settings/loadSettings.js";
import { type DaemonBase } from "./DaemonBase.js";

/**
 * The agent process: connects settings, clock and sockets to the library classes.
 *
 * @internal
 */
export class AgentDaemon {
    private readonly engine: HttpEngine;
    /** The configuration component of the process. */
    private readonly part: ConfigurationComponent;
    private readonly control: ControlComponent;
    private readonly node: AgentNode;
    private readonly operators: OperatorsServer;

    constructor(private readonly base: DaemonBase, settings: Settings<"agent">) {
        const { clock, store, liveList, objects, registry, nodeOptions } = base;
        const finalClaims = new FinalClaimsStore({ objects, clock });
        const processLinks = new ProcessLinks(nodeOptions, "agent");
        const { pool } = processLinks;
        this.part = new ConfigurationComponent({
            ...nodeOptions,
            role: "agent",
            store,
            liveList,
            pool,
            seeds: settings.seeds,
        });
        this.control = new ControlComponent({ ...nodeOptions, store, pool, part: this.part });
        this.engine = new HttpEngine({ clock, origin: settings.engine.origin });
        this.node = new AgentNode({
            ...nodeOptions,
            processLinks,
            engine: this.engine,
            configuration: this.part.node,
            slots: settings.slots,
            service: settings.service,
            readFence: () => readFence(store, ordersDuty(settings.dataCentre)),
            writeFinalClaims: left => finalClaims.write(left),
            metrics: createAgentMetrics(registry),
        });
        const { agent } = this.node;
        const observe = createObserveMethod({
            engine: this.engine,
            noteFence: fence => agent.noteFence(fence),
            inUse: () => agent.inUse(),
        });
        processLinks.registerMethods({ ...this.part.methods(), [observeMethodName]: observe });
        processLinks.onLink(link => this.part.membership.recordHello(link.peer));
        this.operators = new OperatorsServer({
            clock,
            listen: settings.operators,
            registry,
            ready: () => this.part.node.ready && !agent.leaving,
        });
    }

    /** Starts to listen. Loading the configuration continues in the background, since the store may be unavailable. */
    async start(): Promise<Outcome<void>> {
        const operators = await this.operators.listen();
        if (operators.isErr) {
            return Result.err(operators.error);
        }
        const links = await this.node.start();
        if (links.isErr) {
            return Result.err(links.error);
        }
        void this.part.node.start();
        this.control.start();
        return Result.ok(undefined);
    }

    /**
     * Leaves the site gracefully.
     *
     * @returns The number of requests that were interrupted.
     */
    async stop(): Promise<number> {
        await this.control.stop();
        await this.part.stop();
        const interrupted = await this.node.stop();
        await this.operators.close();
        await this.engine.disconnect();
        await this.base.close();
        return interrupted;
    }
}
