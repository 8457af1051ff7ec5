import { type Clock } from "@waxwingspar/utils";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { AnswerBacklog } from "./AnswerBacklog.js";
import { createConnectionChart } from "./connectionChart.js";
import { type Holding, type MemoryBudget } from "./MemoryBudget.js";
import { type ReadTurns } from "./ReadTurns.js";
import { UnreadInput } from "./UnreadInput.js";

/** Passes received bytes to the HTTP parser. */
type Parse = (chunk: Buffer) => void;

/** What a connection that this process closed had received and not answered. @public */
export interface UnansweredInput {
    /** Requests whose heads were read. */
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
/** Bytes that are parsed at once: of heads, so that few requests are parsed beyond the limit, and of bodies. */
const sliceBytes = { head: 1_024, body: 16_384 };
/**
 * Bytes of a body that are read and dropped after its request was refused, so that a client that goes on sending gets to
 * read the refusal before its connection is closed.
 */
const maxDiscarded = 1_048_576;
/** Bytes of a read that are parsed immediately; the rest takes turns with that of other connections. */
const immediateBytes = 16_384;

/**
 * A connection whose received and unread bytes are counted. It parses what it receives in small pieces, and no further
 * while it has as many requests in progress as it may have.
 *
 * @internal
 */
export class GuardedConnection {
    readonly socket: Socket;
    readonly holding: Holding;
    private readonly parse: Parse;
    private readonly backlog: AnswerBacklog;
    private readonly unread: UnreadInput;
    /** Responses that have not ended, with the memory that is counted for their requests. */
    private readonly open = new Map<ServerResponse, number>();
    /** Requests that have been parsed and wait for those before them. */
    private readonly waiting: (() => void)[] = [];
    /** The request that was parsed last. */
    private current: IncomingMessage | undefined;
    /** What further parsing waits for. Only while the socket flows does a pause show that Node.js wants one. */
    private waitsFor: "nothing" | "resume" | "answers" | "turn" = "nothing";
    private headBytes = 0;
    private isParsing = false;
    /** Bytes of a body that were read after its request was answered. */
    private discarded = 0;
    private readonly chart = createConnectionChart();
    /** Whether the client knew that the connection closes before it was closed. */
    private wasTold = false;
    /** Whether the client has ended or reset the connection. */
    private hasClientLeft = false;

    constructor(private readonly options: GuardedConnectionOptions) {
        const { socket, budget } = options;
        this.socket = socket;
        this.unread = new UnreadInput(options.clock);
        this.holding = budget.open({ isClientDue: () => this.isClientDue, close: () => this.evict() });
        this.backlog = new AnswerBacklog({ socket, clock: options.clock, budget, holding: this.holding });
        this.parse = this.takeParser();
        socket.on("resume", () => this.handleResume());
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
        return this.open.size === 0 || this.current?.complete === false || this.socket.writableLength > 0;
    }

    /** Whether a refusal can only be taken for the answer to a request that has not been read whole. */
    get mayRefuse(): boolean {
        const [response] = this.open.keys();
        const isSole = this.open.size === 1 && this.current?.complete === false && response?.headersSent === false;
        return (isSole || this.open.size === 0) && this.socket.writable && this.socket.writableLength === 0;
    }

    /** The response to the request that is being read, if a refusal can be its answer. */
    get refusableResponse(): ServerResponse | undefined {
        const [response] = this.open.keys();
        return this.mayRefuse ? response : undefined;
    }

    /** Whether nothing that is received is read any more. The rest of a request that is being read is. */
    private get isOver(): boolean {
        const { state } = this.chart;
        return state === "closed" || (state === "told" && this.current?.complete !== false);
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

    /** Whether a request that has been received, at least in part, has no answer or not its whole answer. */
    get isBusy(): boolean {
        return this.open.size > 0 || this.hasUnread;
    }

    /** Closes the connection if a request has been read on it, and the client has all answers and sends nothing. */
    closeIfIdle(): void {
        const isIdle = this.current?.complete === true && !this.isBusy && this.socket.writableLength === 0;
        if (isIdle) {
            this.close();
        }
    }

    /** Whether bytes may have been received behind the last request. */
    private get hasUnread(): boolean {
        return !this.unread.isEmpty || this.headBytes > 0 || this.isParsing;
    }

    /** Decides whether an answer closes the connection, before its head is written. */
    beginAnswer(response: ServerResponse): void {
        const isLast = this.chart.state === "ending" && response === [...this.open.keys()].at(-1);
        if (isLast && !this.hasUnread) {
            response.shouldKeepAlive = false;
        }
    }

    /** Records what a head that has been written says of the connection. */
    noteHead(response: ServerResponse): void {
        if (!response.shouldKeepAlive) {
            this.noteTold();
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
        this.open.set(response, hasRoom ? bytes : 0);
        incoming.once("end", () => this.holding.noteProgress());
        response.once("close", () => this.closeRequest(response));
        return hasRoom;
    }

    /** Runs the request that was opened last, when as many of those before it have ended as may run at a time. */
    runInTurn(run: () => void): void {
        if (this.isOver) {
            return;
        }
        if (this.open.size <= this.options.maxRunning) {
            run();
        }
        else {
            this.waiting.push(run);
        }
    }

    /** Counts the answers that wait to be written, and what the client has taken of them since this was last called. */
    updateAnswers(): void {
        this.backlog.update(this.open.keys());
    }

    /** Whether what it has received waits for its own answers, or for those of others. */
    get isHeld(): boolean {
        return this.waitsFor !== "nothing";
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

    /** Parses more of what has been received, when it is this connection's turn. */
    readOn(): void {
        if (this.waitsFor === "turn") {
            this.waitsFor = "resume";
            this.socket.resume();
        }
    }

    /** Takes the place of the listener with which Node.js parses what it reads. */
    private takeParser(): Parse {
        const { socket } = this.options;
        const [parse] = socket.listeners("data") as Parse[];
        if (parse === undefined) {
            throw new Error("expected a connection of an HTTP server, got one without a parser");
        }
        socket.removeListener("data", parse);
        socket.on("data", (chunk: Buffer) => this.receive(chunk));
        return parse;
    }

    private receive(chunk: Buffer): void {
        if (this.isOver) {
            this.unread.refuse(chunk.length);
            return;
        }
        this.holding.move(chunk.length);
        if (!this.reserve(chunk.length)) {
            this.unread.refuse(chunk.length);
            this.evict();
            return;
        }
        this.unread.add(chunk);
        if (this.waitsFor === "nothing") {
            this.parseUnread();
        }
        else {
            this.socket.pause();
        }
    }

    /** Node.js resumes a connection that it had paused, and also one that is paused here, which then stays paused. */
    private handleResume(): void {
        if (this.socket.isPaused()) {
            return;
        }
        if (this.waitsFor === "resume") {
            this.waitsFor = "nothing";
            this.parseUnread();
        }
        else if (this.waitsFor !== "nothing") {
            this.socket.pause();
        }
    }

    private parseUnread(): void {
        const { socket } = this;
        for (let parsed = 0; !this.unread.isEmpty && !this.isOver && !socket.destroyed;) {
            if (!this.mayParse) {
                this.waitsFor = "answers";
                socket.pause();
                return;
            }
            if (parsed >= immediateBytes) {
                this.waitForTurn();
                return;
            }
            parsed += this.parseSlice();
            if (socket.isPaused()) {
                this.waitsFor = "resume";
                return;
            }
        }
    }

    /** Whether the rest of a request or a further one may be parsed. */
    private get mayParse(): boolean {
        return this.current?.complete === false || this.open.size < this.options.maxRunning;
    }

    private parseSlice(): number {
        const isInBody = this.current?.complete === false;
        const slice = this.unread.take(isInBody ? sliceBytes.body : sliceBytes.head);
        const { length } = slice;
        if (isInBody) {
            this.release(length);
            this.discarded += this.open.size === 0 ? length : 0;
        }
        else {
            this.headBytes += length;
        }
        if (this.discarded > maxDiscarded) {
            this.close();
        }
        else {
            this.isParsing = true;
            this.parse(slice);
            this.isParsing = false;
        }
        return length;
    }

    private waitForTurn(): void {
        this.waitsFor = "turn";
        this.socket.pause();
        this.options.turns.expect(this);
    }

    private closeRequest(response: ServerResponse): void {
        const bytes = this.open.get(response) ?? 0;
        this.open.delete(response);
        this.release(bytes);
        this.holding.noteProgress();
        this.updateAnswers();
        // Node.js ends the connection after an answer that closes it, whoever has written its head.
        if (this.socket.writableEnded) {
            this.noteTold();
        }
        if (!this.isOver && !this.socket.destroyed) {
            this.waiting.shift()?.();
        }
        if (this.waitsFor === "answers" && this.mayParse) {
            this.waitForTurn();
        }
    }

    private evict(): void {
        if (!this.isOver) {
            this.close(() => this.options.onEvicted(this));
        }
    }

    /** The client knows that what follows does not run. */
    private noteTold(): void {
        this.chart.send("tell");
        this.waiting.length = 0;
        if (this.isOver) {
            this.dropUnread();
        }
    }

    private dropUnread(): void {
        this.release(this.unread.drop());
        this.options.turns.forget(this);
    }

    private end(): void {
        this.wasTold ||= this.chart.state === "told";
        this.chart.send("close");
        this.waiting.length = 0;
        this.dropUnread();
        this.options.budget.close(this.holding);
    }

    private reportUnanswered(): void {
        const { options: { onUnanswered }, unread: { droppedBytes: bytes, age }, open: { size: requests } } = this;
        if (!this.hasClientLeft && bytes + requests > 0) {
            onUnanswered?.({ requests, bytes, wasTold: this.wasTold, age });
        }
    }
}
