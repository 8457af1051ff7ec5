import { type Clock, type Timer } from "@waxwingspar/utils";
import { type OutgoingHttpHeaders, type ServerResponse } from "node:http";
import { type ReplyMemory } from "./ReplyMemory.js";

/** @internal */
export interface PacedWriterOptions {
    readonly response: ServerResponse;
    readonly clock: Clock;
    /** Milliseconds without progress on pending data after which the caller is disconnected. */
    readonly stallTimeout: number;
    readonly memory: ReplyMemory;
    /** Called when the pending data has been written out. */
    readonly onDrain: () => void;
}

/**
 * Writes a response with backpressure. A caller that reads nothing for too long, or for whom too much data is pending,
 * is disconnected; the response then emits `close`, which ends the request.
 *
 * @internal
 */
export class PacedWriter {
    private readonly options: PacedWriterOptions;
    private pending = "";
    private scheduled = false;
    private stall: Timer | undefined;
    private waiting = false;
    private countedBytes = 0;
    /** True if this writer, and not Node.js, applies the chunked transfer coding to the body. */
    private framing = false;

    constructor(options: PacedWriterOptions) {
        this.options = options;
        options.response.on("drain", () => this.drained());
        options.response.once("close", () => {
            this.stall?.cancel();
            this.count(0);
        });
    }

    /** False while the caller is slow. */
    get ready(): boolean {
        return !this.waiting;
    }

    /** Bytes pending for a slow caller, including their framing; 0 while the caller is not slow. */
    get waitingBytes(): number {
        return this.waiting ? this.options.response.writableLength : 0;
    }

    /**
     * Begins a response of text pieces. Each piece is framed here as one string: Node.js passes a chunk to the
     * operating system in five parts, which costs more than all other work for a token.
     */
    begin(status: number, headers: OutgoingHttpHeaders): void {
        const { response } = this.options;
        response.writeHead(status, headers);
        // False for HTTP 1.0 callers, whose response ends when the connection closes.
        this.framing = response.chunkedEncoding;
        response.chunkedEncoding = false;
    }

    /**
     * Queues text. All text queued in one turn of the event loop is sent in one write.
     *
     * @returns False while the caller is slow.
     */
    queue(text: string): boolean {
        this.pending += text;
        if (!this.scheduled) {
            this.scheduled = true;
            setImmediate(() => this.flush());
        }
        return !this.waiting;
    }

    /** Writes bytes immediately. Returns false while the caller is slow. */
    write(data: Uint8Array): boolean {
        return this.push(data);
    }

    /** Writes the queued text and ends the response. */
    end(text = ""): void {
        const { response } = this.options;
        const rest = this.pending + text;
        this.pending = "";
        if (!response.destroyed) {
            response.end(this.framing ? `${frame(rest)}${lastFrame}` : rest);
            this.watchStall();
        }
    }

    private flush(): void {
        this.scheduled = false;
        const text = this.pending;
        this.pending = "";
        if (text !== "") {
            this.push(this.framing ? frame(text) : text);
        }
    }

    private push(data: string | Uint8Array): boolean {
        const { response, memory } = this.options;
        if (response.destroyed || response.writableEnded) {
            return false;
        }
        if (!response.write(data)) {
            this.waiting = true;
            this.watchStall();
            this.count(response.writableLength);
        }
        if (this.waiting && memory.exceeded(this.countedBytes)) {
            response.destroy();
        }
        return !this.waiting;
    }

    /** Disconnects the caller if it reads nothing within the stall timeout. */
    private watchStall(): void {
        const { clock, response, stallTimeout } = this.options;
        if (this.stall !== undefined) {
            return;
        }
        const taken = bytesTaken(response);
        this.stall = clock.schedule(() => {
            this.stall = undefined;
            if (response.writableFinished || response.destroyed) {
                return;
            }
            if (bytesTaken(response) === taken && response.writableLength > 0) {
                response.destroy();
                return;
            }
            if (this.waiting || response.writableEnded) {
                this.watchStall();
            }
        }, stallTimeout);
    }

    private count(waiting: number): void {
        this.options.memory.changed(this.countedBytes, waiting);
        this.countedBytes = waiting;
    }

    private drained(): void {
        this.waiting = false;
        this.count(0);
        this.options.onDrain();
    }
}

const lastFrame = "0\r\n\r\n";

/** Encodes a piece of a body in the chunked transfer coding of HTTP 1.1. */
function frame(text: string): string {
    return text === "" ? "" : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Bytes of the connection that have been handed to the operating system. */
function bytesTaken(response: ServerResponse): number {
    const { socket } = response;
    return socket === null ? 0 : socket.bytesWritten - socket.writableLength;
}
