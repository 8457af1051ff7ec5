import { Agent, type AgentMetrics, type AgentSettings, type WriteFinalClaims } from "@waxwingspar/agent";
import { type Configuration } from "@waxwingspar/config";
import { type Engine } from "@waxwingspar/engine";
import { createWorkQueue } from "@waxwingspar/policy";
import { type Address } from "@waxwingspar/transport";
import { type Outcome } from "@waxwingspar/utils";
import { createHello, type NodeOptions } from "./NodeOptions.js";
import { type ProcessLinks } from "./ProcessLinks.js";

/** @internal */
export interface AgentNodeOptions extends NodeOptions {
    readonly processLinks: ProcessLinks;
    readonly engine: Engine;
    readonly configuration: Configuration;
    /** The maximum number of requests that the target runs concurrently. */
    readonly slots: number;
    /** The plain service beside the agent. */
    readonly service?: { readonly name: string; readonly baseUrl: string; };
    /** Reads the highest fence ever issued for this target from the store. */
    readonly readFence?: () => Promise<Outcome<number>>;
    /** Stores the final outcomes of the claims of an agent that has left. */
    readonly writeFinalClaims?: WriteFinalClaims;
    readonly metrics?: AgentMetrics;
    readonly settings?: Partial<AgentSettings>;
}

/**
 * An agent connected to the links of its process.
 *
 * @internal
 */
export class AgentNode {
    readonly agent: Agent;
    private readonly links: ProcessLinks;

    constructor(private readonly options: AgentNodeOptions) {
        const { clock, logger, name } = options;
        this.links = options.processLinks;
        this.agent = new Agent({
            target: name,
            hello: createHello(options, "agent"),
            pool: this.links.pool,
            engine: options.engine,
            configuration: options.configuration,
            queue: createWorkQueue({ clock, slots: options.slots }),
            service: options.service,
            readFence: options.readFence,
            writeFinalClaims: options.writeFinalClaims,
            record: options.record,
            clock,
            log: logger,
            tracer: options.tracer,
            metrics: options.metrics,
            settings: options.settings,
        });
        this.links.registerMethods(this.agent.methods);
        this.links.onLink(link => this.agent.accept(link));
    }

    /** Starts to listen and to accept work. */
    async start(): Promise<Outcome<Address>> {
        const address = await this.links.listen();
        if (address.isOk) {
            await this.agent.start();
            this.options.logger.info({ address: address.value }, "agent: accepting work");
        }
        return address;
    }

    /**
     * Leaves the site gracefully.
     *
     * @returns The number of requests that were interrupted.
     */
    async stop(): Promise<number> {
        const { interrupted } = await this.agent.leave();
        await this.links.close();
        return interrupted;
    }

    /** Simulates a killed process: no further message is sent. */
    async kill(): Promise<void> {
        this.links.terminate();
        await this.agent.close();
    }
}
