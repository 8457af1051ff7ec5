import { type Failure, failure, transportCodes } from "@waxwingspar/utils";
import { type Duplex } from "node:stream";
import { type Wire } from "../BaseLink.js";
import { buildFrame, decodeFrame, encodeMessage, frameOverhead } from "../frames/codec.js";
import { FrameParser } from "../frames/FrameParser.js";
import { type Message } from "../messages/Message.js";

/** @internal */
export interface StreamWireOptions {
    readonly stream: Duplex;
    /** The largest frame in either direction, in bytes. */
    readonly maxFrame: number;
    /** The largest frame that is accepted before {@link StreamWire.allowLargeFrames}, in bytes. */
    readonly maxFirstFrame: number;
    /** The maximum number of queued bytes; beyond it the wire fails with `peerTooSlow`. */
    readonly maxQueued: number;
    /** Handles each message; a returned failure closes the wire. */
    readonly onMessage: (message: Message) => Failure | undefined;
    /** Runs once, when the stream has ended for any reason. */
    readonly onEnd: (reason: Failure | undefined) => void;
}

/**
 * Sends and receives messages over a byte stream. Messages sent in one turn of the event loop share one write if they
 * fit into one frame.
 *
 * @internal
 */
export class StreamWire implements Wire {
    /** The number of frames received, to detect whether the peer is alive. */
    framesReceived = 0;
    private readonly parser: FrameParser;
    private pending: Buffer[] = [];
    private pendingBytes = 0;
    private ended = false;
    private closing = false;

    constructor(private readonly options: StreamWireOptions) {
        this.parser = new FrameParser(options.maxFirstFrame);
        const { stream } = options;
        stream.on("data", (chunk: Buffer) => this.receive(chunk));
        stream.on("error", (error: Error) => this.end(failure(transportCodes.connectionLost, error.message)));
        stream.on("end", () => this.end(undefined));
        stream.on("close", () => this.end(undefined));
    }

    get queuedBytes(): number {
        return this.pendingBytes + this.options.stream.writableLength;
    }

    /** Accepts frames up to `maxFrame` from now on, once the peer has sent its hello. */
    allowLargeFrames(): void {
        this.parser.maxFrame = this.options.maxFrame;
    }

    send(message: Message): void {
        if (this.ended || this.closing) {
            return;
        }
        const encoded = encodeMessage(message);
        if (encoded.length + frameOverhead > this.options.maxFrame) {
            this.fail(
                failure(transportCodes.protocolViolation, `message of ${encoded.length} bytes exceeds the frame limit`),
            );
            return;
        }
        if (this.pendingBytes + encoded.length + frameOverhead > this.options.maxFrame) {
            this.flush();
        }
        if (this.pending.length === 0) {
            setImmediate(() => this.flush());
        }
        this.pending.push(encoded);
        this.pendingBytes += encoded.length;
        if (this.queuedBytes > this.options.maxQueued) {
            this.fail(
                failure(
                    transportCodes.peerTooSlow,
                    `${this.queuedBytes} bytes queued, limit ${this.options.maxQueued}`,
                ),
            );
        }
    }

    close(): void {
        if (this.ended || this.closing) {
            return;
        }
        this.flush();
        this.closing = true;
        this.options.stream.end();
    }

    /** Closes immediately with a failure. */
    fail(reason: Failure): void {
        this.end(reason);
        this.options.stream.destroy();
    }

    /** Writes the messages sent in this turn so far. */
    flush(): void {
        if (this.pending.length === 0 || this.ended) {
            return;
        }
        const frame = buildFrame(this.pending);
        this.pending = [];
        this.pendingBytes = 0;
        this.options.stream.write(frame);
    }

    private receive(chunk: Buffer): void {
        if (this.ended) {
            return;
        }
        this.parser.push(chunk);
        while (!this.ended) {
            const frame = this.parser.next();
            if (frame.isErr) {
                this.fail(frame.error);
                return;
            }
            if (frame.value === undefined) {
                return;
            }
            this.framesReceived++;
            this.deliver(frame.value);
        }
    }

    private deliver(frame: Buffer): void {
        const messages = decodeFrame(frame);
        if (messages.isErr) {
            this.fail(messages.error);
            return;
        }
        for (const message of messages.value) {
            const reason = this.ended ? undefined : this.options.onMessage(message);
            if (reason !== undefined) {
                this.fail(reason);
                return;
            }
        }
    }

    private end(reason: Failure | undefined): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.pending = [];
        this.pendingBytes = 0;
        this.options.stream.end();
        this.options.onEnd(reason);
    }
}
