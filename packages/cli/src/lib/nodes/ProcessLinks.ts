import { type Address, type Link, LinkServer, type RpcMethod, TcpLinkPool } from "@waxwingspar/transport";
import { type Outcome } from "@waxwingspar/utils";
import { createHello, type NodeOptions } from "./NodeOptions.js";

/**
 * All links of a process: those that it opens and those that it accepts. Both offer the same methods.
 *
 * @internal
 */
export class ProcessLinks {
    readonly pool: TcpLinkPool;
    private readonly server: LinkServer;
    private readonly methods: Record<string, RpcMethod> = {};
    private readonly handlers: ((link: Link) => void)[] = [];

    constructor(options: NodeOptions, role: "entry" | "agent") {
        const { clock, credentials, links, random, logger } = options;
        const hello = createHello(options, role);
        const { methods } = this;
        this.pool = new TcpLinkPool({ hello, credentials, clock, random, methods });
        this.server = new LinkServer({
            ...links,
            hello,
            credentials,
            clock,
            methods,
            onLink: link => this.handlers.forEach(handler => handler(link)),
            onRefused: reason => logger.warn({ code: reason.code.number }, `transport: ${reason.message}`),
        });
    }

    /** Offers methods to every peer. To be called before the first link exists. */
    offer(methods: Readonly<Record<string, RpcMethod>>): void {
        Object.assign(this.methods, methods);
    }

    /** Adds a function that takes every link that is accepted, before its first message. */
    onLink(handler: (link: Link) => void): void {
        this.handlers.push(handler);
    }

    /** Starts to accept links. */
    listen(): Promise<Outcome<Address>> {
        return this.server.listen();
    }

    /** Closes every link after what is queued has left. */
    async close(): Promise<void> {
        this.pool.close();
        await this.server.close();
    }

    /** Cuts every link at once, as when the process dies. */
    terminate(): void {
        this.server.terminate();
        this.pool.terminate();
    }
}
