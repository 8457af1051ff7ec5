import { StaticConfiguration } from "@waxwingspar/config";
import { type Engine } from "@waxwingspar/engine";
import { createWorkQueue } from "@waxwingspar/policy";
import { type Hello, LinkServer, protocolVersion, TcpLinkPool } from "@waxwingspar/transport";
import { assert, SystemClock } from "@waxwingspar/utils";
import { Agent } from "../lib/Agent.js";
import { type AgentSettings } from "../lib/AgentSettings.js";
import { createDeferredMethods } from "../lib/createDeferredMethods.js";

/** Number of layers of the benchmark model. @internal */
export const benchLayers = 12;

/** Plaintext connections, for the loopback address only. @internal */
export const benchCredentials = { insecure: true } as const;

/** @internal */
export interface BenchAgentOptions {
    readonly name: string;
    readonly engine: Engine;
    /** The port to listen on, for restarting an agent; a free port by default. */
    readonly port?: number;
    readonly incarnation?: number;
    readonly settings?: Partial<AgentSettings>;
}

/** An agent with its sockets on the loopback address. @internal */
export interface BenchAgent {
    readonly agent: Agent;
    readonly port: number;
    /** Closes all links at the same moment, as the kernel does when a process dies. */
    readonly kill: () => Promise<void>;
}

/** @internal */
export function benchHello(process: string, role: Hello["role"], incarnation = 1): Hello {
    const start = `${process}-${incarnation}`;
    return { type: "hello", protocol: protocolVersion, process, role, incarnation: start, dataCentre: "d1" };
}

/** Starts an agent on the loopback address. @internal */
export async function startBenchAgent(options: BenchAgentOptions): Promise<BenchAgent> {
    const { name, engine, port = 0, incarnation = 1, settings } = options;
    const hello = benchHello(name, "agent", incarnation);
    const pool = new TcpLinkPool({ hello, credentials: benchCredentials, methods: createDeferredMethods(() => agent) });
    const clock = new SystemClock();
    const agent: Agent = new Agent({
        target: name,
        hello,
        pool,
        engine,
        configuration: new StaticConfiguration(),
        queue: createWorkQueue({ clock, slots: 1024 }),
        clock,
        settings,
    });
    const server = new LinkServer({
        hello,
        port,
        credentials: benchCredentials,
        methods: agent.methods,
        onLink: link => agent.accept(link),
    });
    const address = await server.listen();
    assert(address.isOk, "the bench agent listens");
    await agent.start();
    const kill = async (): Promise<void> => {
        pool.close();
        await server.close();
        await agent.close();
    };
    return { agent, port: address.value.port, kill };
}
