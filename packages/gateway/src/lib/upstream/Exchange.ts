import { findHeadFault, ReplyWatch } from "@waxwingspar/connections";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { type AcceptBursts } from "../server/AcceptBursts.js";

/** Why an exchange ended without a complete reply. */
export interface ExchangeFailure {
    /** True if no byte of the request can have reached the target, so it cannot be executed there. */
    readonly neverSent: boolean;
    /** True if this process held the request back because it may not be sent to the target any more. */
    readonly isWithdrawn?: boolean;
    /** True if this process ended the reply because it brought bytes without end. */
    readonly isFlood?: boolean;
    readonly reason: string;
}

/** The failure of a request that was held back when its connection was established. */
export const withdrawn: ExchangeFailure = { neverSent: true, isWithdrawn: true, reason: "withdrawn" };

/** Status and headers of a reply. */
export type ReplyMessage = Pick<IncomingMessage, "statusCode" | "headers" | "rawHeaders">;

/** Operations of an exchange available to the code that opened it. */
export type OpenExchange = Pick<Exchange, "pause" | "resume" | "cancel" | "neverSent" | "bytesRead">;

/** Receives the reply of an exchange, in this order. The last call is either `onEnd` or `onFailure`. */
export interface ExchangeListener {
    onHead(response: ReplyMessage): void;
    onData(chunk: Buffer): void;
    onEnd(): void;
    onFailure(failure: ExchangeFailure): void;
}

/** Options of {@link Exchange}. */
export interface ExchangeOptions {
    readonly host: string;
    readonly port: number;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Maximum milliseconds until the connection is established. */
    readonly connectTimeout: number;
    /** Called when the connection is established: whether the request may still be sent. */
    readonly maySend: () => boolean;
    readonly listener: ExchangeListener;
    /** While connections are accepted in a row, the data of replies is kept. By default none are. */
    readonly bursts?: Pick<AcceptBursts, "isActive" | "whenOver">;
}

/**
 * Maximum bytes that a reply may bring in a row without a head or data, as line feeds or interim replies do. The head of
 * a reply has at most 16 KB.
 */
const maxUnusedBytes = 32_768;
/**
 * Maximum bytes of heads and framing, in all and for each byte of data. Chunks of one byte have five bytes of framing, and
 * each one costs as much work as a chunk of thousands.
 */
const maxFraming = { bytes: 65_536, perByte: 2 };
/** Bytes of a read that fills the buffer of Node.js, so that more input is probably waiting. */
const fullRead = 65_536;

/**
 * One request to a target and its reply, on a connection of its own. A connection that is never reused cannot carry a
 * late second reply or a partly read body over to another request, and cannot have failed unnoticed while it was idle.
 * Opening a connection takes 1 ms and costs about 0.2% of the value of a request.
 */
export class Exchange {
    private readonly call: ClientRequest;
    private readonly connectTimer: NodeJS.Timeout;
    private response: IncomingMessage | undefined;
    private isEstablished = false;
    private isSent = false;
    private isOver = false;
    private watch: ReplyWatch | undefined;
    private isPaused = false;
    /** True while the bytes of one read are parsed. */
    private isParsing = false;
    /** Data that is kept until its read has been parsed, and while connections are accepted. */
    private kept: Buffer[] = [];
    private keptBytes = 0;
    private isAwaitingBurst = false;
    /** Whether a head or data has arrived since the last read. */
    private hasUsefulInput = false;
    private unusedBytes = 0;
    private readBytes = 0;
    private dataBytes = 0;

    /**
     * Opens an exchange. A request that cannot be written, such as one with a line feed in a header, has failed unsent.
     */
    static open(options: ExchangeOptions): OpenExchange {
        try {
            return new Exchange(options);
        }
        catch (error) {
            return new UnwritableExchange(options.listener, String(error));
        }
    }

    private constructor(private readonly options: ExchangeOptions) {
        const { host, port, method, path, headers, connectTimeout } = options;
        this.call = request({ host, port, method, path, headers, agent: false });
        // As for callers' heads, whose size is limited too.
        this.call.maxHeadersCount = 0;
        this.connectTimer = setTimeout(() => this.failIfUnconnected(), connectTimeout);
        this.call.once("socket", socket => {
            socket.setNoDelay(true);
            this.watch = new ReplyWatch({ socket, isHeadRequest: () => method === "HEAD" });
            socket.once("connect", () => this.sendAfterInput());
            socket.prependListener("data", () => this.isParsing = true);
            // Node.js added its own listener before, which parses the bytes.
            socket.on("data", (bytes: Buffer) => this.endRead(bytes.length));
        });
        this.call.on("error", (error: NodeJS.ErrnoException) => this.handleError(error));
        // Node.js drops a connection that switches protocols without an error. The end of a reply is told by the reply.
        this.call.once("close", () => this.response === undefined && this.fail("closed"));
        this.call.once("response", response => this.receive(response));
    }

    /**
     * Sends the request after the other input of this turn of the event loop has been handled, which may show that its
     * caller has left.
     */
    private sendAfterInput(): void {
        clearTimeout(this.connectTimer);
        this.isEstablished = true;
        setImmediate(() => this.send());
    }

    /** Sends the request on its new connection, unless what is known of the target has changed meanwhile. */
    private send(): void {
        const { body, maySend, listener } = this.options;
        if (this.isOver) {
            return;
        }
        const isAllowed = maySend();
        if (this.wasEnded()) {
            return;
        }
        if (!isAllowed) {
            this.close();
            listener.onFailure(withdrawn);
            return;
        }
        this.isSent = true;
        this.call.end(body);
    }

    /** What comes after a complete reply, such as further bytes, belongs to no request: the end of the reply follows. */
    private handleError({ code, message }: { readonly code?: string; readonly message?: string; }): void {
        if (this.response?.complete !== true) {
            this.fail(code ?? message ?? "failed");
        }
    }

    /** Whether the exchange has ended meanwhile, which the compiler does not expect of a call. */
    private wasEnded(): boolean {
        return this.isOver;
    }

    /** Stops reading until {@link Exchange.resume} is called, to apply back-pressure from a slow caller. */
    pause(): void {
        this.isPaused = true;
        this.response?.pause();
    }

    resume(): void {
        this.isPaused = false;
        this.response?.resume();
    }

    /** Ends the exchange without calling its listener again. The target sees the connection close. */
    cancel(): void {
        this.close();
    }

    /** True while no byte can have reached the target. */
    get neverSent(): boolean {
        return !this.isSent;
    }

    /** Bytes that the target has sent so far, the framing of its reply included. */
    get bytesRead(): number {
        return this.readBytes;
    }

    private receive(response: IncomingMessage): void {
        if (this.isOver) {
            return;
        }
        if (this.watch?.hasHead !== true) {
            this.fail("head cut");
            return;
        }
        const fault = findHeadFault(response);
        if (fault !== undefined) {
            this.fail(`malformed head: ${fault}`);
            return;
        }
        this.response = response;
        this.hasUsefulInput = true;
        response.on("error", (error: NodeJS.ErrnoException) => this.handleError(error));
        response.once("close", () => this.fail("closed"));
        const { listener } = this.options;
        listener.onHead(response);
        response.on("data", (chunk: Buffer) => {
            if (!this.isOver) {
                this.takeData(chunk);
            }
        });
        response.once("end", () => {
            this.deliverKept();
            if (!response.complete || this.watch?.isWhole !== true) {
                this.fail(this.watch?.wasReset === true ? "reset" : "truncated");
            }
            else if (!this.isOver) {
                this.close();
                listener.onEnd();
            }
        });
    }

    private takeData(chunk: Buffer): void {
        this.hasUsefulInput = true;
        this.dataBytes += chunk.length;
        this.kept.push(chunk);
        this.keptBytes += chunk.length;
        if (!this.isParsing && this.kept.length === 1) {
            // A response that was paused releases all its chunks one after the other.
            queueMicrotask(() => this.deliverUnlessAccepting());
        }
    }

    /** Handles the bytes of one read together, after Node.js has parsed them, however many chunks they consist of. */
    private endRead(bytes: number): void {
        this.isParsing = false;
        this.readBytes += bytes;
        this.deliverUnlessAccepting();
        const waiting = this.response?.readableLength ?? 0;
        this.unusedBytes = this.hasUsefulInput || waiting > 0 ? 0 : this.unusedBytes + bytes;
        this.hasUsefulInput = false;
        const data = this.dataBytes + waiting;
        if (this.unusedBytes > maxUnusedBytes) {
            this.fail(`${this.unusedBytes} bytes without a head or data`, true);
        }
        else if (this.bytesRead - data > maxFraming.bytes + data * maxFraming.perByte) {
            this.fail(`${this.bytesRead - data} bytes of framing for ${data} bytes of data`, true);
        }
        else if (bytes >= fullRead || this.keptBytes >= fullRead) {
            this.yieldToOthers();
        }
    }

    /**
     * Reads on in the next turn of the event loop, or when the present connections have been accepted. Node.js reads one
     * socket up to 32 times in a turn.
     */
    private yieldToOthers(): void {
        this.response?.pause();
        if (!this.isAwaitingBurst) {
            setImmediate(() => this.readOn());
        }
    }

    private readOn(): void {
        if (!this.isOver && !this.isPaused && !this.isAwaitingBurst) {
            this.response?.resume();
        }
    }

    private deliverUnlessAccepting(): void {
        const { bursts } = this.options;
        if (bursts?.isActive !== true) {
            this.deliverKept();
        }
        else if (!this.isAwaitingBurst && this.kept.length > 0) {
            this.isAwaitingBurst = true;
            bursts.whenOver(() => {
                this.isAwaitingBurst = false;
                this.deliverKept();
                this.readOn();
            });
        }
    }

    private deliverKept(): void {
        const { kept } = this;
        const [first] = kept;
        if (first !== undefined && !this.isOver) {
            this.kept = [];
            this.keptBytes = 0;
            this.options.listener.onData(kept.length === 1 ? first : Buffer.concat(kept));
        }
    }

    /**
     * Checks the connection again after pending I/O: Node.js runs timers first, and the connection may have opened
     * while the event loop was blocked.
     */
    private failIfUnconnected(): void {
        setImmediate(() => {
            if (!this.isEstablished) {
                this.fail("connect timeout");
            }
        });
    }

    private fail(reason: string, isFlood = false): void {
        if (this.isOver) {
            return;
        }
        const neverSent = this.neverSent;
        this.deliverKept();
        if (this.isOver) {
            return;
        }
        this.close();
        this.options.listener.onFailure({ neverSent, isFlood, reason });
    }

    private close(): void {
        this.isOver = true;
        clearTimeout(this.connectTimer);
        this.call.destroy();
    }
}

/** Fails an exchange once its opener has returned. */
class UnwritableExchange implements OpenExchange {
    readonly neverSent = true;
    readonly bytesRead = 0;
    private isCancelled = false;

    constructor(listener: ExchangeListener, reason: string) {
        setImmediate(() => {
            if (!this.isCancelled) {
                listener.onFailure({ neverSent: true, isWithdrawn: true, reason });
            }
        });
    }

    pause(): void {}

    resume(): void {}

    cancel(): void {
        this.isCancelled = true;
    }
}
