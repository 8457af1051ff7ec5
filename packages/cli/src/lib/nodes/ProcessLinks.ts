import { type Address, type Link, LinkServer, type RpcMethod, TcpLinkPool } from "@waxwingspar/transport";
import { type Outcome } from "@waxwingspar/utils";
import { createHello, type NodeOptions } from "./NodeOptions.js";

/**
 * All links of a process: those that it opens and those that it accepts. Both serve the same methods.
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

    /** Registers methods that every peer can call. Must be called before the first link exists. */
    registerMethods(methods: Readonly<Record<string, RpcMethod>>): void {
        Object.assign(this.methods, methods);
    }

    /** Adds a handler that is called for every accepted link, before its first message. */
    onLink(handler: (link: Link) => void): void {
        this.handlers.push(handler);
    }

    /** Starts to accept links. */
    listen(): Promise<Outcome<Address>> {
        return this.server.listen();
    }

    /** Closes every link after its queued messages have been sent. */
    async close(): Promise<void> {
        this.pool.close();
        await this.server.close();
    }

    /** Terminates every link immediately, as if the process had crashed. */
    terminate(): void {
        this.server.terminate();
        this.pool.terminate();
    }
}
