import { Agent, type AgentMetrics, type AgentSettings } from "@waxwingspar/agent";
import { type Configuration } from "@waxwingspar/config";
import { type Engine } from "@waxwingspar/engine";
import { createWorkQueue } from "@waxwingspar/policy";
import { type Address, LinkServer, type RpcMethod, TcpLinkPool } from "@waxwingspar/transport";
import { type Outcome } from "@waxwingspar/utils";
import { createHello, type NodeOptions } from "./NodeOptions.js";

/** @internal */
export interface AgentNodeOptions extends NodeOptions {
    readonly engine: Engine;
    readonly configuration: Configuration;
    /** Requests that the target runs at once. */
    readonly slots: number;
    /** The plain service beside the agent. */
    readonly service?: { readonly name: string; readonly baseUrl: string; };
    /** Reads the highest fence ever issued for this target from the store. */
    readonly readFence?: () => Promise<Outcome<number>>;
    /** JSON-RPC methods besides those of the agent. */
    readonly methods?: Readonly<Record<string, RpcMethod>>;
    readonly metrics?: AgentMetrics;
    readonly settings?: Partial<AgentSettings>;
}

/**
 * An agent with its sockets.
 *
 * @internal
 */
export class AgentNode {
    readonly agent: Agent;
    readonly pool: TcpLinkPool;
    private readonly server: LinkServer;

    constructor(private readonly options: AgentNodeOptions) {
        const { clock, credentials, links, random, logger, name } = options;
        const hello = createHello(options, "agent");
        const methods: Record<string, RpcMethod> = { ...options.methods };
        this.pool = new TcpLinkPool({ hello, credentials, clock, random, methods });
        this.agent = new Agent({
            target: name,
            hello,
            pool: this.pool,
            engine: options.engine,
            configuration: options.configuration,
            queue: createWorkQueue({ clock, slots: options.slots }),
            service: options.service,
            readFence: options.readFence,
            record: options.record,
            clock,
            log: logger,
            tracer: options.tracer,
            metrics: options.metrics,
            settings: options.settings,
        });
        // Links are made after this, so both ends of each offer every method.
        Object.assign(methods, this.agent.methods);
        this.server = new LinkServer({
            ...links,
            hello,
            credentials,
            clock,
            methods,
            onLink: link => this.agent.accept(link),
            onRefused: reason => logger.warn({ code: reason.code.number }, `transport: ${reason.message}`),
        });
    }

    /** Starts to listen and to work. */
    async start(): Promise<Outcome<Address>> {
        const address = await this.server.listen();
        if (address.isOk) {
            await this.agent.start();
            this.options.logger.info({ address: address.value }, "agent: takes work");
        }
        return address;
    }

    /**
     * Leaves gracefully.
     *
     * @returns How many requests were cut off.
     */
    async stop(): Promise<number> {
        this.options.logger.info({}, "agent: leaves");
        const { interrupted } = await this.agent.leave();
        this.pool.close();
        await this.server.close();
        this.options.logger.info({ interrupted }, "agent: stopped");
        return interrupted;
    }

    /** Ends as if the process had been killed: no message goes out any more. */
    async kill(): Promise<void> {
        this.server.terminate();
        this.pool.terminate();
        await this.agent.close();
    }
}
