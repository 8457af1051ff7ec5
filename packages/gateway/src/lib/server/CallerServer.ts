import {
    afterInput,
    GuardedServer,
    type GuardReason,
    type MemoryBudget,
    readBody,
    type UnansweredInput,
} from "@waxwingspar/connections";
import { type Clock, sleep } from "@waxwingspar/utils";
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, type Server as Listener, type Socket } from "node:net";
import { type CallerLimits } from "../configuration/Configuration.js";
import { type Address } from "../GatewaySettings.js";
import { type LoopMonitor } from "../observation/LoopMonitor.js";
import { CallerPresence } from "./CallerPresence.js";

/** A request with its complete body. */
export interface ReceivedRequest {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer | undefined;
    readonly presence: CallerPresence;
    /** Time on the clock at which its head was read. */
    readonly readAt: number;
    /** Maximum milliseconds for which it had waited in the operating system until then. */
    readonly maxUnread: number;
    /** Whether it is the first request of its connection. */
    readonly isFirst: boolean;
}

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
    readonly clock: Clock;
    /** What all clients of this process may occupy together. */
    readonly budget: MemoryBudget;
    /** Maximum number of connections; each has one request in progress at a time. */
    readonly maxConnections: number;
    readonly loop: Pick<LoopMonitor, "inputAge">;
    readonly address: Address;
    /** A server that already listens at the address, whose connections this one takes over. */
    readonly listening?: Listener;
    /** Whether a connection that arrives now is kept. Others are closed before their requests are read. */
    readonly mayAccept?: () => boolean;
    /** Called for each connection that is accepted and kept. */
    readonly onConnection: () => void;
    /** Called for each connection that is closed before its request is read. */
    readonly onDrop?: () => void;
    /** Whether a server whose listening was paused listens again. */
    readonly mayListen?: () => boolean;
    /** Called when the server cannot listen again; it tries further. */
    readonly onListenError?: (error: Error) => void;
    readonly onRequest: (request: ReceivedRequest) => void;
    /** Ends the requests in progress, before all connections are closed. */
    readonly onClosing?: () => void;
    /** Refuses a request whose body has not come, before all connections are closed. */
    readonly onUnfinished?: (response: ServerResponse) => void;
    /** Refuses a request that has not run: its body is too large or too slow, or there is no room for it. */
    readonly onRefused: (response: ServerResponse, reason: GuardReason) => void;
    /** Called for each connection that is closed, and each request that is refused, because of what its client does. */
    readonly onGuarded: (reason: GuardReason) => void;
    /** Called for each connection that closes before its client does, with requests or bytes that were not answered. */
    readonly onUnanswered?: (input: UnansweredInput) => void;
    /** Largest request body in bytes; undefined before a configuration sets a limit. */
    readonly maxBodyBytes: () => number | undefined;
}

/** Bytes of headers above which a request is refused with status 431 before a configuration sets a limit. */
const defaultHeaderLimit = 65_536;
/** Milliseconds in which a whole request must arrive: a multiple of what callers wait for their answers. */
const requestTimeout = 60_000;
/**
 * Milliseconds that an idle connection is kept beyond the configured idle timeout. Callers reuse connections that have
 * been idle for up to four fifths of the timeout.
 */
const idleSlack = 1_000;
/** Milliseconds between Node's checks for connections that exceed the header timeout. */
const checkInterval = 1_000;

/**
 * Largest request body in bytes before a configuration sets a limit. Without a configuration a request is refused as
 * not run, whatever its size.
 */
const defaultBodyLimit = 8_388_608;

/**
 * Maximum number of connections that wait to be accepted. At the least share of a processor these are accepted within
 * half a second, so that none is accepted whose caller has already given up; further callers connect elsewhere.
 */
const backlog = 128;
/** Milliseconds within which a caller sends the request that it has connected for. */
const maxSilence = 1_000;
/** Milliseconds for the last answers to be written before all connections are closed. */
const flushTime = 100;
/** Value of Node's `maxConnections` that admits every connection; some versions read 0 as none. */
const unlimited = Number.MAX_SAFE_INTEGER;

/** HTTP server for callers, which buffers the complete body of each request. */
export class CallerServer {
    private readonly guarded: GuardedServer;
    private readonly server: Server;
    /** The callers of each connection whose requests have not ended; several if they are pipelined. */
    private readonly present = new WeakMap<Socket, Set<CallerPresence>>();
    /** Accepted connections whose first request has not been read, with the time of their acceptance; the oldest first. */
    private readonly unread = new Map<Socket, number>();
    private isPaused = false;
    private isClosed = false;
    private listeningAt: AddressInfo | undefined;
    /** Responses to requests that have not ended. */
    private readonly open = new Set<ServerResponse>();
    /** Responses to requests whose bodies are being read. */
    private readonly unfinished = new Set<ServerResponse>();
    /** Requests that have been read completely and not answered. */
    private running = 0;

    constructor(private readonly options: CallerServerOptions) {
        const { clock, budget, maxConnections, onRefused, onGuarded, onUnanswered, maxBodyBytes } = options;
        this.guarded = new GuardedServer({
            clock,
            budget,
            maxConnections,
            maxBodyBytes: () => maxBodyBytes() ?? defaultBodyLimit,
            onRequest: (incoming, response) => this.receive(incoming, response),
            refuse: onRefused,
            onGuarded,
            onUnanswered,
            server: {
                maxHeaderSize: defaultHeaderLimit,
                noDelay: true,
                connectionsCheckingInterval: checkInterval,
                requestTimeout,
            },
        });
        this.server = this.guarded.http;
        this.server.on("connection", (socket: Socket) => {
            this.watchEnd(socket);
            this.unread.set(socket, clock.now());
            socket.once("close", () => {
                if (this.unread.delete(socket)) {
                    this.updateAcceptance();
                }
            });
            options.onConnection();
            this.updateAcceptance();
        });
        this.server.on("drop", () => options.onDrop?.());
    }

    /** Number of requests that have not ended. */
    get openRequests(): number {
        return this.open.size;
    }

    /** Number of requests that run, including those that accepted connections are about to send. */
    get load(): number {
        this.forgetSilent();
        return this.running + this.unread.size;
    }

    /** Connections that stay silent are no load; they must not turn others away. */
    private forgetSilent(): void {
        const since = this.options.clock.now() - maxSilence;
        for (const [socket, acceptedAt] of this.unread) {
            if (acceptedAt > since) {
                return;
            }
            this.unread.delete(socket);
        }
    }

    /** Applies the present answer of `mayAccept` to connections that arrive from now on. */
    updateAcceptance(): void {
        this.server.maxConnections = this.options.mayAccept?.() === false ? 1 : unlimited;
        if (this.isPaused && this.options.mayListen?.() !== false) {
            this.listenAgain();
        }
    }

    /**
     * Stops listening until `mayListen` holds again. The operating system refuses connections meanwhile, which costs this
     * process nothing; open connections are kept.
     */
    pauseListening(): void {
        if (!this.isPaused && !this.isClosed && this.server.listening) {
            this.isPaused = true;
            this.guarded.stopListening();
        }
    }

    private listenAgain(): void {
        const { listeningAt } = this;
        if (listeningAt !== undefined && !this.isClosed) {
            this.isPaused = false;
            this.server.listen({ host: listeningAt.address, port: listeningAt.port, backlog });
        }
    }

    private handleListenError(error: Error): void {
        this.isPaused = true;
        this.options.onListenError?.(error);
    }

    start(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.once("listening", () => {
                this.listeningAt = this.server.address() as AddressInfo;
                this.server.off("error", reject);
                this.server.on("error", error => this.handleListenError(error));
                resolve();
            });
            const { address, listening } = this.options;
            if (listening === undefined) {
                this.server.listen({ host: address.host, port: address.port, backlog });
            }
            else {
                this.server.listen(listening, backlog);
            }
        });
    }

    /** The address that the server listens on. */
    get address(): AddressInfo {
        return this.listeningAt ?? this.server.address() as AddressInfo;
    }

    /** Applies the operators' timeouts for callers. */
    applyLimits({ headerTimeout, idleTimeout, headerBytes }: CallerLimits): void {
        // Read by Node.js for each new connection.
        Object.assign(this.server, { maxHeaderSize: headerBytes });
        this.server.headersTimeout = headerTimeout;
        this.server.keepAliveTimeout = idleTimeout + idleSlack;
    }

    /** Makes further answers close their connections, so that callers move to other processes. */
    stopKeepingConnections(): void {
        this.guarded.endConnections();
    }

    /** Stops listening. Open connections are kept until they are idle. */
    close(): void {
        this.isClosed = true;
        this.guarded.stopListening();
        this.guarded.closeIdle();
    }

    /** Whether a request has no answer or not its whole answer, or received bytes wait to be read. */
    get isBusy(): boolean {
        return this.guarded.isBusy;
    }

    /** Ends all requests that have been received with what is known of their outcome, then closes all connections. */
    async closeAll(): Promise<void> {
        const { clock, onClosing, onUnfinished } = this.options;
        await new Promise<void>(afterInput);
        this.guarded.finishReading();
        await new Promise<void>(afterInput);
        if (this.open.size > 0) {
            this.unfinished.forEach(response => onUnfinished?.(response));
            this.unfinished.clear();
            onClosing?.();
            await sleep(clock, flushTime);
        }
        this.server.closeAllConnections();
    }

    /**
     * Makes callers leave when the end of their connection is read. Node closes a response only turns of the event loop
     * later, when it has ended its own side of the connection.
     */
    private watchEnd(socket: Socket): void {
        const callers = new Set<CallerPresence>();
        this.present.set(socket, callers);
        socket.once("end", () => callers.forEach(presence => presence.leave()));
    }

    private endRun(): void {
        this.running--;
        this.updateAcceptance();
    }

    private receive(incoming: IncomingMessage, response: ServerResponse): void {
        this.open.add(response);
        this.unfinished.add(response);
        const isFirst = this.unread.delete(incoming.socket);
        const readAt = this.options.clock.now();
        const maxUnread = this.options.loop.inputAge;
        const presence = new CallerPresence();
        const callers = this.present.get(incoming.socket);
        callers?.add(presence);
        response.once("close", () => {
            this.open.delete(response);
            this.unfinished.delete(response);
            callers?.delete(presence);
            presence.leave();
        });
        const { maxBodyBytes, onRequest, onRefused, onGuarded } = this.options;
        readBody(incoming, {
            maxBytes: maxBodyBytes() ?? defaultBodyLimit,
            whenOver: callback => response.once("close", callback),
            onBody: body => {
                const isUnanswered = this.unfinished.delete(response);
                if (isUnanswered && !presence.hasLeft) {
                    this.running++;
                    response.once("close", () => this.endRun());
                    onRequest({ incoming, response, body, presence, readAt, maxUnread, isFirst });
                }
            },
            onRefused: reason => {
                this.unfinished.delete(response);
                onGuarded(reason);
                onRefused(response, reason);
            },
        });
    }
}
