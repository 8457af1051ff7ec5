import { clientLimits } from "@waxwingspar/connections";
import { type Clock, type Failure, failure, type Outcome, SystemClock, transportCodes } from "@waxwingspar/utils";
import { createServer, type Server, type Socket } from "node:net";
import { createServer as createTlsServer } from "node:tls";
import { Result } from "true-myth";
import { type BaseLink } from "../BaseLink.js";
import { type Link, type RpcMethod } from "../Link.js";
import { type Address } from "../LinkPool.js";
import { type Hello } from "../messages/common.js";
import { type LinkCredentials, mayUse, serverTlsOptions } from "./credentials.js";
import { defaultLimits, type LinkLimits, openLink } from "./TcpLink.js";

/**
 * Options of a {@link LinkServer}.
 *
 * @public
 */
export interface LinkServerOptions {
    /** The IP address to listen on. Default 127.0.0.1. */
    readonly host?: string;
    /** The port; 0 lets the operating system choose. Default 0. */
    readonly port?: number;
    /** The hello that this process sends to every peer. */
    readonly hello: Hello;
    readonly credentials: LinkCredentials;
    /** JSON-RPC methods offered to every peer. */
    readonly methods?: Readonly<Record<string, RpcMethod>>;
    readonly clock?: Clock;
    readonly limits?: LinkLimits;
    /** The maximum number of open links; further connections are closed immediately. Default 20000. */
    readonly maxLinks?: number;
    /** Runs for every new link, before its first message. */
    readonly onLink?: (link: Link) => void;
    /** Runs for every connection that was refused, such as one without the key. */
    readonly onRefused?: (reason: Failure) => void;
}

/** Share of the connections that a process can bear which may be open without a proof of the key. */
const unprovenShare = 0.25;

/**
 * Accepts links from other processes.
 *
 * @example
 * ```ts
 * const server = new LinkServer({ hello, credentials, onLink: link => link.onMessage(handle) });
 * const address = await server.listen();
 * ```
 * @public
 */
export class LinkServer {
    private readonly server: Server;
    private readonly links = new Set<BaseLink>();
    private readonly sockets = new Set<Socket>();
    /** Connections whose peer has not proven that it holds the key, the oldest first. */
    private readonly unproven = new Map<string, Socket>();
    private readonly maxUnproven = Math.ceil(clientLimits().connections * unprovenShare);
    private readonly clock: Clock;
    private readonly limits: Required<LinkLimits>;

    constructor(private readonly options: LinkServerOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.limits = { ...defaultLimits, ...options.limits };
        const tls = serverTlsOptions(options.credentials);
        this.server = tls === undefined
            ? createServer(socket => this.accept(socket))
            : createTlsServer({ ...tls, handshakeTimeout: this.limits.connectTimeout }, socket => this.accept(socket));
        this.server.maxConnections = options.maxLinks ?? 20_000;
        this.server.on("connection", (socket: Socket) => this.track(socket));
        this.server.on("tlsClientError", (error: Error) => this.refused(error.message));
    }

    /**
     * Starts to listen.
     *
     * @returns The address, with the port that was chosen; `notConnected` if it cannot be used, `peerRefused` for
     * plaintext on an address other than loopback.
     */
    listen(): Promise<Outcome<Address>> {
        const host = this.options.host ?? "127.0.0.1";
        if (!mayUse(this.options.credentials, host)) {
            const reason = failure(
                transportCodes.peerRefused,
                `plaintext links are allowed on loopback only, not on ${host}`,
            );
            return Promise.resolve(Result.err(reason));
        }
        return new Promise(resolve => {
            this.server.once("error", error => {
                resolve(Result.err(failure(transportCodes.notConnected, error.message)));
            });
            this.server.listen(this.options.port ?? 0, host, () => resolve(Result.ok(this.address(host))));
        });
    }

    /** The links that are currently open. */
    get openLinks(): readonly Link[] {
        return [...this.links];
    }

    /** Notifies every peer that its link will close soon, so that the peer starts no new work on it. */
    announceClosing(): void {
        this.links.forEach(link => link.announceClosing());
    }

    /** Stops listening, announces and closes every link. Resolves once all sockets are closed. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.announceClosing();
            this.links.forEach(link => link.close());
            this.clock.schedule(() => this.destroySockets(), this.limits.connectTimeout);
        });
    }

    /** Destroys every connection immediately, as a crash of the process would. Queued data is lost. */
    terminate(): void {
        this.server.close();
        this.destroySockets();
    }

    private address(host: string): Address {
        const address = this.server.address();
        return { host, port: address !== null && typeof address === "object" ? address.port : 0 };
    }

    private track(socket: Socket): void {
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        this.sockets.add(socket);
        const peer = peerOf(socket);
        this.unproven.set(peer, socket);
        const [oldest] = this.unproven.values();
        if (this.unproven.size > this.maxUnproven) {
            oldest?.destroy();
        }
        socket.on("close", () => {
            this.sockets.delete(socket);
            this.unproven.delete(peer);
        });
    }

    private accept(socket: Socket): void {
        // A TLS connection has another socket than the one that was tracked, with the same peer.
        const peer = peerOf(socket);
        openLink({
            stream: socket,
            hello: this.options.hello,
            clock: this.clock,
            methods: this.options.methods ?? {},
            limits: this.limits,
            onOpen: link => {
                this.links.add(link);
                this.unproven.delete(peer);
                link.onClose(() => this.links.delete(link));
                this.options.onLink?.(link);
            },
            onRefused: reason => this.options.onRefused?.(reason),
        });
    }

    private refused(message: string): void {
        this.options.onRefused?.(failure(transportCodes.peerRefused, message));
    }

    private destroySockets(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}

function peerOf({ remoteAddress, remotePort }: Socket): string {
    return `${remoteAddress}:${remotePort}`;
}
