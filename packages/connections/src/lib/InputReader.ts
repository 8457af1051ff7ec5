import { type Clock } from "@waxwingspar/utils";
import { type Socket } from "node:net";
import { type ReadTurns } from "./ReadTurns.js";
import { UnreadInput } from "./UnreadInput.js";

/** Passes received bytes to the HTTP parser. */
type Parse = (chunk: Buffer) => void;

/** Options of {@link InputReader}. */
export interface InputReaderOptions {
    readonly socket: Socket;
    readonly clock: Pick<Clock, "now">;
    readonly turns: ReadTurns;
    /** Whether what is received is dropped. */
    readonly isOver: () => boolean;
    /** Whether the body of a request is being read. */
    readonly isInBody: () => boolean;
    /** Whether the rest of a request, or a further one, may be parsed. */
    readonly mayParse: () => boolean;
    /** Counts received bytes. @returns False if there is no room for them. */
    readonly reserve: (bytes: number) => boolean;
    /** Called when there is no room for received bytes, which are dropped. */
    readonly onFull: () => void;
    /** Called for bytes that are about to be parsed. @returns Whether they still are. */
    readonly onSlice: (bytes: number, isInBody: boolean) => boolean;
}

/** Bytes that are parsed at once: of heads, so that few requests are parsed beyond the limit, and of bodies. */
const sliceBytes = { head: 1_024, body: 16_384 };
/** Bytes of a read that are parsed immediately; the rest takes turns with that of other connections. */
const immediateBytes = 16_384;

/** Passes what a connection receives to the parser of Node.js, in small pieces and only while requests may be parsed. */
export class InputReader {
    private readonly unread: UnreadInput;
    private readonly parse: Parse;
    /** What further parsing waits for. Only while the socket flows does a pause show that Node.js wants one. */
    private waitsFor: "nothing" | "resume" | "answers" | "turn" = "nothing";
    private isParsing = false;
    /** Whether all that is received is parsed at once. */
    private readsAll = false;

    constructor(private readonly options: InputReaderOptions) {
        const { socket, clock } = options;
        this.unread = new UnreadInput(clock);
        this.parse = this.takeParser();
        socket.on("resume", () => this.handleResume());
    }

    /** Bytes that were received and will never be parsed. */
    get droppedBytes(): number {
        return this.unread.droppedBytes;
    }

    /** Milliseconds since the last bytes were received. */
    get age(): number {
        return this.unread.age;
    }

    /** Whether bytes wait to be parsed, here or in the buffer of a paused socket. */
    get hasUnread(): boolean {
        return !this.unread.isEmpty || this.options.socket.readableLength > 0;
    }

    /** Whether bytes wait to be parsed, or may follow in the piece that is being parsed. */
    get mayHaveMore(): boolean {
        return this.hasUnread || this.isParsing;
    }

    /** Whether what was received waits for its connection's own answers, or for its turn. */
    get isHeld(): boolean {
        return this.waitsFor !== "nothing";
    }

    /** Parses more of what has been received, when it is this connection's turn. */
    readOn(): void {
        if (this.waitsFor === "turn") {
            this.waitsFor = "resume";
            this.options.socket.resume();
        }
    }

    /** Lets what waits for answers be parsed in one of the next turns, if it may be now. */
    continue(): void {
        if (this.waitsFor === "answers" && this.options.mayParse()) {
            this.waitForTurn();
        }
    }

    /** Parses what has been received, and what will be, without waiting for answers or turns. */
    readAll(): void {
        const { socket, turns } = this.options;
        this.readsAll = true;
        turns.forget(this);
        // The parser of Node.js takes nothing while it has paused the connection of a client that reads slowly.
        if (this.waitsFor !== "resume") {
            this.waitsFor = "nothing";
            socket.resume();
            this.parseUnread();
        }
    }

    /** Drops what waits. @returns Its bytes. */
    drop(): number {
        this.options.turns.forget(this);
        return this.unread.drop();
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
        const { socket, isOver, reserve, onFull } = this.options;
        if (isOver()) {
            this.unread.refuse(chunk.length);
            return;
        }
        if (!reserve(chunk.length)) {
            this.unread.refuse(chunk.length);
            onFull();
            return;
        }
        this.unread.add(chunk);
        if (this.waitsFor === "nothing") {
            this.parseUnread();
        }
        else {
            socket.pause();
        }
    }

    /** Node.js resumes a connection that it had paused, and also one that is paused here, which then stays paused. */
    private handleResume(): void {
        const { socket } = this.options;
        if (socket.isPaused()) {
            return;
        }
        if (this.waitsFor === "resume") {
            this.waitsFor = "nothing";
            this.parseUnread();
        }
        else if (this.waitsFor !== "nothing") {
            socket.pause();
        }
    }

    private parseUnread(): void {
        const { socket, isOver, mayParse } = this.options;
        for (let parsed = 0; !this.unread.isEmpty && !isOver() && !socket.destroyed;) {
            if (!this.readsAll && !mayParse()) {
                this.waitsFor = "answers";
                socket.pause();
                return;
            }
            if (!this.readsAll && parsed >= immediateBytes) {
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

    private parseSlice(): number {
        const { isInBody, onSlice } = this.options;
        const inBody = isInBody();
        const slice = this.unread.take(inBody ? sliceBytes.body : sliceBytes.head);
        if (onSlice(slice.length, inBody)) {
            this.isParsing = true;
            try {
                this.parse(slice);
            }
            finally {
                this.isParsing = false;
            }
        }
        return slice.length;
    }

    private waitForTurn(): void {
        this.waitsFor = "turn";
        this.options.socket.pause();
        this.options.turns.expect(this);
    }
}
