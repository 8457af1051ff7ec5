import { type Failure, failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/** Bytes of the length that precedes each frame: an unsigned 32-bit number, most significant byte first. @internal */
export const lengthBytes = 4;

/**
 * Splits a stream of bytes into length-prefixed frames. Memory is bounded by one frame plus the current chunk.
 *
 * @internal
 */
export class FrameParser {
    /** The largest frame that is accepted from now on, in bytes without the length. */
    maxFrame: number;
    private chunks: Buffer[] = [];
    private buffered = 0;
    private broken: Failure | undefined;

    /** @param maxFrame - The largest frame that is accepted, in bytes without the length. */
    constructor(maxFrame: number) {
        this.maxFrame = maxFrame;
    }

    /** Adds received bytes. */
    push(chunk: Buffer): void {
        this.chunks.push(chunk);
        this.buffered += chunk.length;
    }

    /**
     * Removes the next complete frame and returns it without its length.
     *
     * @returns The frame, undefined while it is incomplete, or `protocolViolation` from the first invalid length on.
     */
    next(): Outcome<Buffer | undefined> {
        if (this.broken !== undefined) {
            return Result.err(this.broken);
        }
        if (this.buffered < lengthBytes) {
            return Result.ok(undefined);
        }
        const length = this.peekLength();
        if (length === 0 || length > this.maxFrame) {
            this.broken = failure(transportCodes.protocolViolation, `frame of ${length} bytes, limit ${this.maxFrame}`);
            this.chunks = [];
            this.buffered = 0;
            return Result.err(this.broken);
        }
        if (this.buffered < lengthBytes + length) {
            return Result.ok(undefined);
        }
        return Result.ok(this.take(lengthBytes + length).subarray(lengthBytes));
    }

    private peekLength(): number {
        const first = this.chunks[0];
        if (first !== undefined && first.length >= lengthBytes) {
            return first.readUInt32BE(0);
        }
        return this.join().readUInt32BE(0);
    }

    private take(size: number): Buffer {
        const all = this.join();
        const rest = all.subarray(size);
        this.chunks = rest.length === 0 ? [] : [rest];
        this.buffered = rest.length;
        return all.subarray(0, size);
    }

    private join(): Buffer {
        const [first] = this.chunks;
        const joined = this.chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.chunks);
        this.chunks = [joined];
        return joined;
    }
}
