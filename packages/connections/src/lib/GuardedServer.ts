import { type Clock } from "@waxwingspar/utils";
import {
    createServer,
    type IncomingMessage,
    type Server,
    type ServerOptions,
    type ServerResponse,
    STATUS_CODES,
} from "node:http";
import { Server as Listener, type Socket } from "node:net";
import { afterInput } from "./afterInput.js";
import { CountedResponse, guardedConnections } from "./CountedResponse.js";
import { GuardedConnection, type UnansweredInput } from "./GuardedConnection.js";
import { type MemoryBudget } from "./MemoryBudget.js";
import { announcedLength } from "./readBody.js";
import { ReadTurns } from "./ReadTurns.js";

/** Why a connection was closed, or a request refused. @public */
export type GuardReason =
    | "memory"
    | "descriptors"
    | "unread"
    | "malformed"
    | "tooSlow"
    | "tooLarge"
    | "headersTooLarge";

/** Writes the refusal of a request that has not run. @public */
export type GuardRefusal = (response: ServerResponse, reason: GuardReason) => void;

/** Options of {@link GuardedServer}. @public */
export interface GuardedServerOptions {
    readonly clock: Clock;
    readonly budget: MemoryBudget;
    readonly onRequest: (incoming: IncomingMessage, response: ServerResponse) => void;
    /** Writes a refusal; by default one with the status alone. */
    readonly refuse?: GuardRefusal;
    /** The bytes with which a connection is answered on which no request could be read. */
    readonly refuseUnread?: (reason: GuardReason) => string;
    /** Called for each connection that is closed and each request that is refused. */
    readonly onGuarded?: (reason: GuardReason) => void;
    /** Called for each connection that closes before its client does, with requests or bytes that were not answered. */
    readonly onUnanswered?: (input: UnansweredInput) => void;
    /** Maximum number of connections. */
    readonly maxConnections: number;
    /** Maximum number of requests that run on one connection at a time; further ones wait, most of them unread. */
    readonly maxRunning?: number;
    /** Milliseconds without a byte taken after which a client that has an answer to read is disconnected. */
    readonly answerTimeout?: number;
    /** Maximum bytes of an announced body; requests that announce more are refused before their body is read. */
    readonly maxBodyBytes?: () => number;
    /** Further options of the server. */
    readonly server?: ServerOptions;
}

const defaultRunning = 1;
/** Milliseconds. */
const defaultAnswerTimeout = 16_000;
/** Milliseconds between checks for clients that take nothing of their answers. */
const checkInterval = 1_000;

const statuses: Readonly<Record<GuardReason, number>> = {
    memory: 503,
    descriptors: 503,
    unread: 503,
    malformed: 400,
    tooSlow: 408,
    tooLarge: 413,
    headersTooLarge: 431,
};

/**
 * An HTTP server that counts what its clients send and leave unread, and bounds it: for each connection, and by a budget
 * that servers of one process share.
 *
 * @public
 */
export class GuardedServer {
    readonly http: Server;
    private readonly connections = new Set<GuardedConnection>();
    private readonly turns: ReadTurns;
    private isChecking = false;
    private isEnding = false;
    private closesIdle = false;

    constructor(private readonly options: GuardedServerOptions) {
        this.turns = new ReadTurns(options.clock);
        this.http = createServer({ ...options.server, ServerResponse: CountedResponse });
        // The size of a head is limited, and a list that is cut would not show all headers that frame a body.
        this.http.maxHeadersCount = 0;
        this.http.on("connection", (socket: Socket) => this.guard(socket));
        // The timer of an idle connection runs before the input that is waiting.
        this.http.on(
            "timeout",
            (socket: Socket) => afterInput(() => guardedConnections.get(socket)?.closeIfSilent()),
        );
        this.http.on("request", (incoming, response) => this.receive(incoming, response));
        this.http.on("checkContinue", (incoming, response) => {
            if (!this.isTooLarge(incoming)) {
                response.writeContinue();
            }
            this.receive(incoming, response);
        });
        this.http.on(
            "clientError",
            (error: NodeJS.ErrnoException, socket) => this.handleError(error, socket as Socket),
        );
    }

    /** Lets every connection, also each new one, end with the answer to the last request that was received on it. */
    endConnections(): void {
        this.isEnding = true;
        this.connections.forEach(connection => connection.endSoon());
    }

    /** Stops listening and closes no connection. The method of Node.js closes those that wait to be read, too. */
    stopListening(): void {
        Listener.prototype.close.call(this.http);
    }

    /**
     * Closes each connection as soon as its client has all answers and sends nothing, after the input that is waiting has
     * been read. Node.js takes a connection for idle whose bytes wait to be parsed, or whose answer waits to be written.
     */
    closeIdle(): void {
        this.closesIdle = true;
        afterInput(() => this.connections.forEach(connection => connection.closeIfIdle()));
    }

    /** Whether a request has no answer or not its whole answer, or received bytes wait to be read. */
    get isBusy(): boolean {
        return [...this.connections].some(({ isBusy }) => isBusy);
    }

    /**
     * Reads all that has been received and passes on all requests at once, so that they can be refused. Connections on
     * which no request is open are closed; nothing more is read on the others.
     */
    finishReading(): void {
        this.connections.forEach(connection => connection.finishReading());
    }

    private guard(socket: Socket): void {
        const { clock, budget, maxConnections, maxRunning = defaultRunning } = this.options;
        if (this.connections.size >= maxConnections && !this.closeIdlest()) {
            this.options.onGuarded?.("descriptors");
            socket.destroy();
            return;
        }
        const connection = new GuardedConnection({
            socket,
            clock,
            budget,
            turns: this.turns,
            maxRunning,
            onEvicted: evicted => this.refuseRest(evicted, "memory"),
            onUnanswered: this.options.onUnanswered,
        });
        if (this.isEnding) {
            connection.endSoon();
        }
        guardedConnections.set(socket, connection);
        this.connections.add(connection);
        socket.once("close", () => this.connections.delete(connection));
        this.scheduleCheck();
    }

    /** Closes the connection whose client has done nothing for the longest time. @returns False if every client waits. */
    private closeIdlest(): boolean {
        let idlest: GuardedConnection | undefined;
        for (const connection of this.connections) {
            const { movedAt } = connection.holding;
            if (connection.isClientDue && (idlest === undefined || movedAt < idlest.holding.movedAt)) {
                idlest = connection;
            }
        }
        if (idlest === undefined) {
            return false;
        }
        const closed = idlest;
        this.connections.delete(closed);
        closed.close(() => this.refuseRest(closed, "descriptors"));
        return true;
    }

    private receive(incoming: IncomingMessage, response: ServerResponse): void {
        const connection = guardedConnections.get(incoming.socket);
        if (connection === undefined) {
            response.destroy();
            return;
        }
        incoming.on("error", () => response.destroy());
        response.once("close", () => this.closesIdle && afterInput(() => connection.closeIfIdle()));
        if (!connection.openRequest(incoming, response)) {
            this.refuse(response, "memory");
        }
        else if (this.isTooLarge(incoming)) {
            this.refuse(response, "tooLarge");
        }
        else {
            connection.runInTurn(response, () => this.options.onRequest(incoming, response));
        }
    }

    private isTooLarge(incoming: IncomingMessage): boolean {
        return (announcedLength(incoming) ?? 0) > (this.options.maxBodyBytes?.() ?? Infinity);
    }

    private refuse(response: ServerResponse, reason: GuardReason): void {
        const { onGuarded, refuse = writeStatus } = this.options;
        onGuarded?.(reason);
        refuse(response, reason);
    }

    private refuseRest(connection: GuardedConnection, reason: GuardReason): void {
        const { refusableResponse: response } = connection;
        if (response === undefined) {
            this.options.onGuarded?.(reason);
        }
        else {
            response.shouldKeepAlive = false;
            this.refuse(response, reason);
        }
    }

    /**
     * Answers bytes that are no request, unless the answer could be taken for that to an earlier request. Such a one gets
     * its own answer first.
     */
    private handleError(error: NodeJS.ErrnoException, socket: Socket): void {
        const reason = reasonOf(error.code);
        const connection = guardedConnections.get(socket);
        if (reason === "tooSlow" && connection?.isHeld === true) {
            return;
        }
        const isOfInput = error.code?.startsWith("HPE_") === true || reason === "tooSlow";
        if (isOfInput && connection?.stopReading(() => this.refuseRest(connection, reason)) === true) {
            return;
        }
        if (error.code !== "ECONNRESET" && connection?.mayRefuse === true) {
            this.options.onGuarded?.(reason);
            socket.write((this.options.refuseUnread ?? statusOnly)(reason));
        }
        socket.destroy();
    }

    private scheduleCheck(): void {
        if (!this.isChecking) {
            this.isChecking = true;
            this.options.clock.schedule(() => this.check(), checkInterval);
        }
    }

    private check(): void {
        this.isChecking = false;
        const { clock, onGuarded, answerTimeout = defaultAnswerTimeout } = this.options;
        const since = clock.now() - answerTimeout;
        for (const connection of this.connections) {
            connection.updateAnswers();
            if (connection.isUnreadSince(since)) {
                onGuarded?.("unread");
                connection.socket.destroy();
            }
        }
        if (this.connections.size > 0) {
            this.scheduleCheck();
        }
    }
}

function writeStatus(response: ServerResponse, reason: GuardReason): void {
    response.writeHead(statuses[reason], { "Content-Length": 0 });
    response.end();
}

function statusOnly(reason: GuardReason): string {
    const status = statuses[reason];
    return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`;
}

function reasonOf(code: string | undefined): GuardReason {
    switch (code) {
        case "HPE_HEADER_OVERFLOW":
            return "headersTooLarge";
        case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
            return "tooLarge";
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return "tooSlow";
        default:
            return "malformed";
    }
}
