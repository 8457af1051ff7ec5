import { type Clock, type Timer } from "@waxwingspar/utils";
import { type OutgoingHttpHeaders, type ServerResponse } from "node:http";
import { type ReplyMemory } from "./ReplyMemory.js";

/** @internal */
export interface PacedWriterOptions {
    readonly response: ServerResponse;
    readonly clock: Clock;
    /** Milliseconds for which the caller may take nothing of what waits. */
    readonly stallTimeout: number;
    readonly memory: ReplyMemory;
    /** Runs when the caller has taken what waited. */
    readonly onDrain: () => void;
}

/**
 * Writes a response as fast as its caller reads. A caller that takes nothing for too long, or for whom too much waits,
 * is cut off; the response's `close` event tells the rest.
 *
 * @internal
 */
export class PacedWriter {
    private readonly options: PacedWriterOptions;
    private pending = "";
    private scheduled = false;
    private stall: Timer | undefined;
    private waiting = false;
    private counted = 0;
    /** True when this writer frames the chunks of the body, in place of Node. */
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

    /** Bytes that wait for a slow caller, with their framing; 0 while the caller is not slow. */
    get waitingBytes(): number {
        return this.waiting ? this.options.response.writableLength : 0;
    }

    /**
     * Begins a response of text pieces. Pieces are framed here, as one string each: Node hands a chunk to the operating
     * system in five parts, which costs more than all else that is done for a token.
     */
    begin(status: number, headers: OutgoingHttpHeaders): void {
        const { response } = this.options;
        response.writeHead(status, headers);
        // False for callers of HTTP 1.0, whose response ends with the connection.
        this.framing = response.chunkedEncoding;
        response.chunkedEncoding = false;
    }

    /**
     * Queues text. What is queued in one turn of the event loop leaves in one write.
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

    /** Writes bytes at once. Returns false while the caller is slow. */
    write(data: Uint8Array): boolean {
        return this.push(data);
    }

    /** Writes what is queued and ends the response. */
    end(text = ""): void {
        const { response } = this.options;
        const rest = this.pending + text;
        this.pending = "";
        if (!response.destroyed) {
            response.end(this.framing ? `${frame(rest)}${lastFrame}` : rest);
            this.watch();
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
            this.watch();
            this.count(response.writableLength);
        }
        if (this.waiting && memory.exceeded(this.counted)) {
            response.destroy();
        }
        return !this.waiting;
    }

    /** Cuts the caller off when it takes nothing for too long. */
    private watch(): void {
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
                this.watch();
            }
        }, stallTimeout);
    }

    private count(waiting: number): void {
        this.options.memory.changed(this.counted, waiting);
        this.counted = waiting;
    }

    private drained(): void {
        this.waiting = false;
        this.count(0);
        this.options.onDrain();
    }
}

const lastFrame = "0\r\n\r\n";

/** A piece of a body in the chunked transfer coding of HTTP 1.1. */
function frame(text: string): string {
    return text === "" ? "" : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Bytes of the connection that the operating system has taken. */
function bytesTaken(response: ServerResponse): number {
    const { socket } = response;
    return socket === null ? 0 : socket.bytesWritten - socket.writableLength;
}
