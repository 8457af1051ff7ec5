import { Agent } from "@waxwingspar/agent";
import { HttpEngine } from "@waxwingspar/engine";
import { createWorkQueue } from "@waxwingspar/policy";
import { LinkServer, type RpcMethod, TcpLinkPool } from "@waxwingspar/transport";
import { Foundation } from "./Foundation.js";
import { type AgentFile } from "./settings.js";

/** Starts an agent. @returns Stops it gracefully. @internal */
export async function runAgent(settings: AgentFile): Promise<() => Promise<number>> {
    const foundation = await Foundation.open(settings, "agent");
    const { clock, random, hello, logger, node, recorder, membership } = foundation;
    const methods: Record<string, RpcMethod> = node.methods();
    const pool = new TcpLinkPool({ hello, credentials: settings.credentials, clock, random, methods });
    const agent = new Agent({
        target: settings.name,
        hello,
        pool,
        engine: new HttpEngine({ clock, origin: settings.engine.origin }),
        configuration: node,
        queue: createWorkQueue({ clock, slots: settings.slots }),
        service: settings.service,
        readFence: foundation.readFence,
        record: recorder.record,
        clock,
        log: logger,
    });
    Object.assign(methods, agent.methods);
    const server = new LinkServer({
        ...settings.links,
        hello,
        credentials: settings.credentials,
        clock,
        methods,
        onLink: link => {
            membership.sawHello(link.peer);
            agent.accept(link);
        },
    });
    const address = await server.listen();
    if (address.isErr) {
        throw new Error(address.error.message);
    }
    await foundation.start();
    await agent.start();
    return async () => {
        void foundation.leave();
        const { interrupted } = await agent.leave();
        pool.close();
        await server.close();
        await foundation.close();
        return interrupted;
    };
}
