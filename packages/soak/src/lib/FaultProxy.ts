import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** How a link misbehaves. */
export type LinkFault =
    /** Bytes arrive late, in both directions. */
    | { readonly kind: "delayed"; readonly delay: number; }
    /** Open and new connections are reset. */
    | { readonly kind: "reset"; }
    /** Bytes of the given directions arrive only when the fault ends; connections stay open. */
    | { readonly kind: "silent"; readonly directions: readonly Direction[]; };

/** Direction of bytes on a proxied connection. */
export type Direction = "toServer" | "toClient";

/** Options of {@link FaultProxy}. */
export interface FaultProxyOptions {
    /** Address of the server, as `host:port`. */
    readonly server: string;
}

const host = "127.0.0.1";

/** A TCP proxy on loopback whose connections can be delayed, reset, and silenced in either direction. */
export class FaultProxy {
    private readonly listener: Server;
    private readonly lanes = new Set<Lane>();
    private fault: LinkFault | undefined;

    constructor(private readonly options: FaultProxyOptions) {
        this.listener = createServer({ allowHalfOpen: true }, client => this.accept(client));
    }

    /** The address on which it listens, as `host:port`. */
    get address(): string {
        return `${host}:${(this.listener.address() as AddressInfo).port}`;
    }

    /** Whether bytes arrive, though perhaps late. */
    get isOpen(): boolean {
        return this.fault === undefined || this.fault.kind === "delayed";
    }

    start(): Promise<void> {
        return new Promise(resolve => this.listener.listen(0, host, resolve));
    }

    /** Stops listening and closes all connections. */
    stop(): void {
        this.listener.close();
        this.lanes.forEach(lane => lane.destroy());
    }

    /** Replaces the present fault; undefined ends it. */
    setFault(fault: LinkFault | undefined): void {
        this.fault = fault;
        if (fault?.kind === "reset") {
            this.lanes.forEach(lane => lane.reset());
        }
        this.lanes.forEach(lane => lane.update(fault));
    }

    private accept(client: Socket): void {
        if (this.fault?.kind === "reset") {
            client.resetAndDestroy();
            return;
        }
        const [serverHost = host, port = "0"] = this.options.server.split(":");
        const server = connect({ host: serverHost, port: Number(port), allowHalfOpen: true });
        const lanes = [new Lane(client, server, "toServer"), new Lane(server, client, "toClient")];
        for (const lane of lanes) {
            this.lanes.add(lane);
            lane.update(this.fault);
            lane.whenClosed(() => this.lanes.delete(lane));
        }
    }
}

/** The bytes of one connection in one direction. */
class Lane {
    private delay = 0;
    /** What is on its way, in order. A shorter delay does not let later bytes overtake earlier ones. */
    private readonly queue: { readonly due: number; readonly arrive: () => void; }[] = [];
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly from: Socket, to: Socket, private readonly direction: Direction) {
        from.setNoDelay(true);
        from.on("data", (bytes: Buffer) => this.later(() => to.write(bytes)));
        from.once("end", () => this.later(() => to.end()));
        from.on("error", () => to.resetAndDestroy());
        from.once("close", hadError => hadError ? undefined : this.later(() => to.destroySoon()));
    }

    /** Applies a fault, or none. */
    update(fault: LinkFault | undefined): void {
        this.delay = fault?.kind === "delayed" ? fault.delay : 0;
        if (fault?.kind === "silent" && fault.directions.includes(this.direction)) {
            this.from.pause();
        }
        else {
            this.from.resume();
        }
    }

    reset(): void {
        this.from.resetAndDestroy();
    }

    destroy(): void {
        this.from.destroy();
    }

    whenClosed(listener: () => void): void {
        this.from.once("close", listener);
    }

    private later(arrive: () => void): void {
        if (this.delay === 0 && this.queue.length === 0) {
            arrive();
            return;
        }
        this.queue.push({ due: performance.now() + this.delay, arrive });
        this.timer ??= setTimeout(() => this.deliver(), this.delay);
    }

    private deliver(): void {
        this.timer = undefined;
        for (let next = this.queue[0]; next !== undefined; next = this.queue[0]) {
            const left = next.due - performance.now();
            if (left > 0) {
                this.timer = setTimeout(() => this.deliver(), left);
                return;
            }
            this.queue.shift();
            next.arrive();
        }
    }
}
