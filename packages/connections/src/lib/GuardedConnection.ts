import { type Clock } from "@waxwingspar/utils";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { AnswerBacklog } from "./AnswerBacklog.js";
import { createConnectionChart } from "./connectionChart.js";
import { InputReader } from "./InputReader.js";
import { type Holding, type MemoryBudget } from "./MemoryBudget.js";
import { type ReadTurns } from "./ReadTurns.js";

/** What a connection that this process closed had received and not answered. @public */
export interface UnansweredInput {
    /** Requests whose heads were read, without those whose answers were broken off. */
    readonly requests: number;
    /** Further bytes, which were never read as requests. */
    readonly bytes: number;
    /** Whether an answer had told the client that the connection closes. */
    readonly wasTold: boolean;
    /** Milliseconds since the last bytes were received. */
    readonly age: number;
}

/** Options of {@link GuardedConnection}. */
export interface GuardedConnectionOptions {
    readonly socket: Socket;
    readonly clock: Pick<Clock, "now">;
    readonly budget: MemoryBudget;
    readonly turns: ReadTurns;
    /** Maximum number of requests that run at a time. */
    readonly maxRunning: number;
    /** Called when the connection is closed to make room for others, before its socket is destroyed. */
    readonly onEvicted: (connection: GuardedConnection) => void;
    /** Called when the connection has closed before its client did, with requests or bytes that were not answered. */
    readonly onUnanswered?: (input: UnansweredInput) => void;
}

/** Memory in bytes that a connection takes by itself: socket, parser, timers. */
const connectionBytes = 16_384;
/** Memory in bytes that a parsed request takes beside its head: request, response, their listeners. */
const requestBytes = 4_096;
/** Memory of a character of a parsed head, in its strings and in the arrays that refer to them. */
const bytesPerHeadCharacter = 2;
/** Memory in bytes of a name or value of a parsed head beside its characters: strings, entries of lists and of the index. */
const bytesPerHeadText = 64;
/**
 * Bytes of a body that are read and dropped after its request was refused, so that a client that goes on sending gets to
 * read the refusal before its connection is closed.
 */
const maxDiscarded = 1_048_576;

interface WaitingRequest {
    readonly response: ServerResponse;
    readonly run: () => void;
}

/**
 * A connection whose received and unread bytes are counted. It parses what it receives in small pieces, and no further
 * while it has as many requests in progress as it may have.
 *
 * @internal
 */
export class GuardedConnection {
    readonly socket: Socket;
    readonly holding: Holding;
    private readonly reader: InputReader;
    private readonly backlog: AnswerBacklog;
    /** Responses that have not ended, with the memory that is counted for their requests. */
    private readonly open = new Map<ServerResponse, number>();
    /** Requests that have been parsed and wait for those before them. */
    private waiting: WaitingRequest[] = [];
    /** The request that was parsed last. */
    private current: IncomingMessage | undefined;
    /** Bytes of the head that is being read. */
    private headBytes = 0;
    /** Bytes of a body that were read after its request was answered. */
    private discarded = 0;
    private readonly chart = createConnectionChart();
    /** Whether the client knew that the connection closes before it was closed. */
    private wasTold = false;
    /** Whether the client has ended or reset the connection. */
    private hasClientLeft = false;
    /** Whether nothing more is read, though requests may be open. */
    private readsNoMore = false;
    /** Whether all requests run at once, so that they can be refused. */
    private runsAll = false;
    /** The body that is being read, and how to give it up. */
    private body: { readonly incoming: IncomingMessage; readonly abandon: () => void; } | undefined;

    constructor(private readonly options: GuardedConnectionOptions) {
        const { socket, clock, budget, turns, maxRunning } = options;
        this.socket = socket;
        this.holding = budget.open({ isClientDue: () => this.isClientDue, close: () => this.evict() });
        this.backlog = new AnswerBacklog({ socket, clock, budget, holding: this.holding });
        this.reader = new InputReader({
            socket,
            clock,
            turns,
            isOver: () => this.isOver,
            isInBody: () => this.isInBody,
            mayParse: () => this.isInBody || this.open.size < maxRunning,
            reserve: bytes => this.receive(bytes),
            onFull: () => void this.evict(),
            onSlice: (bytes, isInBody) => this.countSlice(bytes, isInBody),
        });
        socket.on("drain", () => this.updateAnswers());
        socket.prependOnceListener("end", () => this.hasClientLeft = true);
        socket.prependOnceListener("error", () => this.hasClientLeft = true);
        socket.once("close", () => {
            this.end();
            this.reportUnanswered();
        });
        if (!this.reserve(connectionBytes)) {
            this.evict();
        }
    }

    /** Whether the next move is the client's: to send the rest of a request or a new one, or to read an answer. */
    get isClientDue(): boolean {
        if (this.readsNoMore) {
            return this.socket.writableLength > 0;
        }
        const isSilent = this.open.size === 0 && !this.reader.hasUnread;
        return isSilent || this.isInBody || this.socket.writableLength > 0;
    }

    /** Whether the connection can be closed without cutting a request that was read whole. */
    get isClosable(): boolean {
        return this.socket.writableLength > 0 || !(this.hasWholeRequest || this.reader.hasUnread);
    }

    /** Whether a refusal can only be taken for the answer to a request that has not been read whole. */
    get mayRefuse(): boolean {
        const isAlone = this.isInBody
            ? this.open.size === 1 && this.refusableResponse !== undefined
            : this.open.size === 0;
        return isAlone && this.socket.writable && this.socket.writableLength === 0;
    }

    /** The response to the request that is being read, if a refusal can be its answer. */
    get refusableResponse(): ServerResponse | undefined {
        const response = this.isInBody ? this.lastOpen : undefined;
        return response?.req === this.current && response?.headersSent === false ? response : undefined;
    }

    private get lastOpen(): ServerResponse | undefined {
        return [...this.open.keys()].at(-1);
    }

    /** Whether a request that has been read whole has not had its whole answer. */
    private get hasWholeRequest(): boolean {
        return [...this.open.keys()].some(({ req }) => req.complete);
    }

    private get isInBody(): boolean {
        return this.current?.complete === false;
    }

    /** Whether nothing that is received is read any more. After a last answer, the rest of its own request is. */
    private get isOver(): boolean {
        const { state } = this.chart;
        return this.readsNoMore || state === "closed" || (state === "told" && !this.isInBody);
    }

    /** Counts memory for the connection. @returns False if there is no room; nothing was counted then. */
    reserve(bytes: number): boolean {
        return this.chart.state !== "closed" && this.options.budget.reserve(this.holding, bytes);
    }

    release(bytes: number): void {
        this.options.budget.release(this.holding, bytes);
    }

    /** Lets the connection end with the answer to the last request that has been received. */
    endSoon(): void {
        this.chart.send("end");
    }

    /** Whether a request has no answer or not its whole answer, or received bytes wait to be read. */
    get isBusy(): boolean {
        return this.open.size > 0 || this.reader.hasUnread;
    }

    /** Closes the connection if a request has been read on it, and the client has all answers and sends nothing. */
    closeIfIdle(): void {
        if (this.current?.complete === true && this.headBytes === 0) {
            this.closeIfSilent();
        }
    }

    /** Closes the connection of a client that has all answers, also if it has sent a part of a request. */
    closeIfSilent(): void {
        if (!this.isBusy && this.socket.writableLength === 0) {
            this.close();
        }
    }

    /** Whether bytes may have been received behind the last request. */
    private get mayHaveMore(): boolean {
        return this.reader.mayHaveMore || this.headBytes > 0;
    }

    /** Reads all that has been received, and runs all requests at once. */
    finishReading(): void {
        this.runsAll = true;
        this.reader.readAll();
        this.waiting.splice(0).forEach(({ run }) => run());
        this.closeIfIdle();
    }

    /** Sets how to give up the body of the request that is being read. */
    onAbandonBody(incoming: IncomingMessage, abandon: () => void): void {
        this.body = { incoming, abandon };
    }

    /** Decides whether an answer closes the connection, before its head is written. */
    beginAnswer(response: ServerResponse): void {
        const { state } = this.chart;
        const mayClose = state === "finishing" || (state === "ending" && !this.mayHaveMore);
        if (mayClose && response === this.lastOpen) {
            response.shouldKeepAlive = false;
        }
    }

    /** Records what a head that has been written says of the connection. */
    noteHead(response: ServerResponse): void {
        if (!response.shouldKeepAlive || response.getHeader("connection") === "close") {
            const order = [...this.open.keys()];
            const before = new Set(order.slice(0, order.indexOf(response)));
            this.noteTold(this.waiting.filter(waiting => before.has(waiting.response)));
        }
    }

    /** Counts a parsed request until its response closes. @returns False if there is no room for it. */
    openRequest(incoming: IncomingMessage, response: ServerResponse): boolean {
        const { rawHeaders, url = "" } = incoming;
        const characters = rawHeaders.reduce((sum, text) => sum + text.length, url.length);
        const bytes = requestBytes + bytesPerHeadCharacter * characters + bytesPerHeadText * rawHeaders.length;
        this.release(this.headBytes);
        this.headBytes = 0;
        this.discarded = 0;
        const hasRoom = this.reserve(bytes);
        this.current = incoming;
        // Nothing is read behind a request of the first version, or one that may switch protocols.
        if (incoming.httpVersionMinor === 0 || incoming.headers.upgrade !== undefined) {
            response.shouldKeepAlive = false;
        }
        this.open.set(response, hasRoom ? bytes : 0);
        incoming.once("end", () => this.holding.noteProgress());
        response.once("close", () => this.closeRequest(response));
        return hasRoom;
    }

    /** Runs the request that was opened last, when as many of those before it have ended as may run at a time. */
    runInTurn(response: ServerResponse, run: () => void): void {
        const { state } = this.chart;
        if (state === "told" || state === "closed") {
            return;
        }
        if (this.runsAll || this.open.size <= this.options.maxRunning) {
            run();
        }
        else {
            this.waiting.push({ response, run });
        }
    }

    /** Counts the answers that wait to be written, and what the client has taken of them since this was last called. */
    updateAnswers(): void {
        this.backlog.update(this.open.keys());
    }

    /** Whether what it has received waits for its own answers, or for those of others. */
    get isHeld(): boolean {
        return this.reader.isHeld;
    }

    /** Whether the client has taken nothing of a waiting answer since a time on the clock. */
    isUnreadSince(time: number): boolean {
        return this.backlog.isUnreadSince(time);
    }

    /**
     * Closes the connection and reads nothing more from it. What a client has not taken is dropped.
     *
     * @param sayWhy - Writes a last answer, if one is due.
     */
    close(sayWhy?: () => void): void {
        const { socket } = this;
        const isBlocked = socket.writableLength > 0;
        sayWhy?.();
        this.end();
        if (isBlocked) {
            socket.destroy();
        }
        else {
            socket.destroySoon();
        }
    }

    private receive(bytes: number): boolean {
        this.holding.move(bytes);
        return this.reserve(bytes);
    }

    /** Counts bytes that are about to be parsed. @returns False if the client sends too much of a body after its refusal. */
    private countSlice(bytes: number, isInBody: boolean): boolean {
        if (isInBody) {
            this.release(bytes);
            this.discarded += this.open.size === 0 ? bytes : 0;
        }
        else {
            this.headBytes += bytes;
        }
        const isWithinLimit = this.discarded <= maxDiscarded;
        if (!isWithinLimit) {
            this.close();
        }
        return isWithinLimit;
    }

    private closeRequest(response: ServerResponse): void {
        const bytes = this.open.get(response) ?? 0;
        this.open.delete(response);
        this.release(bytes);
        this.holding.noteProgress();
        this.updateAnswers();
        // Node.js ends the connection after an answer that closes it, whoever has written its head.
        if (this.socket.writableEnded) {
            this.noteTold([]);
        }
        if (!this.socket.destroyed) {
            this.waiting.shift()?.run();
        }
        if (this.chart.state === "finishing") {
            this.closeIfSilent();
        }
        this.reader.continue();
    }

    /**
     * Reads nothing more, because no request can follow. Requests that have been read whole are answered first.
     *
     * @param refuseRest - Refuses the request that is being read.
     * @returns False if there is none to be answered.
     */
    stopReading(refuseRest: () => void): boolean {
        if (!this.hasWholeRequest || this.hasClientLeft) {
            return false;
        }
        if (!this.readsNoMore) {
            this.chart.send("finish");
            this.readsNoMore = true;
            this.release(this.reader.drop());
            if (this.isInBody && this.body?.incoming === this.current) {
                this.body?.abandon();
            }
            refuseRest();
        }
        return true;
    }

    /** @returns Whether the connection stays open for requests that were read whole. */
    private evict(): boolean {
        const refuseRest = () => this.options.onEvicted(this);
        if (this.socket.writableLength === 0 && this.stopReading(refuseRest)) {
            return true;
        }
        if (this.chart.state !== "closed") {
            this.close(refuseRest);
        }
        return false;
    }

    /** @param waiting - Requests that are answered before the last answer; the client knows that what follows does not run. */
    private noteTold(waiting: WaitingRequest[]): void {
        this.chart.send("tell");
        this.waiting = waiting;
        if (this.isOver) {
            this.release(this.reader.drop());
        }
    }

    private end(): void {
        this.wasTold ||= this.chart.state === "told";
        this.chart.send("close");
        this.waiting = [];
        this.reader.drop();
        this.options.budget.close(this.holding);
    }

    private reportUnanswered(): void {
        const { options: { onUnanswered }, reader: { droppedBytes: bytes, age } } = this;
        // Those that the application has broken off are destroyed by now.
        const requests = [...this.open.keys()].filter(({ destroyed }) => !destroyed).length;
        if (!this.hasClientLeft && bytes + requests > 0) {
            onUnanswered?.({ requests, bytes, wasTold: this.wasTold, age });
        }
    }
}
