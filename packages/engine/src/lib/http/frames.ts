import { ByteAccumulator } from "@waxwingspar/utils";

const lengthBytes = 4;

/** Prefixes a body with its length as a 32-bit big-endian integer. @internal */
export function toFrame(body: Uint8Array): Buffer {
    const frame = Buffer.allocUnsafe(lengthBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    frame.set(body, lengthBytes);
    return frame;
}

/**
 * Splits a byte stream into the frames that {@link toFrame} encoded.
 *
 * @internal
 */
export class FrameReader {
    private readonly held = new ByteAccumulator();
    /** The number of buffered bytes needed to decode the next length or body. */
    private needed = lengthBytes;

    /** @param limit - Maximum size of a body in bytes; a longer one is an error. */
    constructor(private readonly limit: number) {}

    /**
     * Adds a chunk of the stream.
     *
     * @returns The bodies of the frames that are now complete, or undefined if a frame exceeds the limit.
     */
    push(chunk: Buffer): Buffer[] | undefined {
        this.held.add(chunk);
        return this.held.length < this.needed ? [] : this.splitFrames(this.held.take());
    }

    private splitFrames(joined: Buffer): Buffer[] | undefined {
        const bodies: Buffer[] = [];
        let rest = joined;
        this.needed = lengthBytes;
        while (rest.length >= this.needed) {
            const length = rest.readUInt32BE(0);
            if (length > this.limit) {
                return undefined;
            }
            const end = lengthBytes + length;
            if (rest.length < end) {
                this.needed = end;
                break;
            }
            bodies.push(rest.subarray(lengthBytes, end));
            rest = rest.subarray(end);
        }
        this.held.add(rest);
        return bodies;
    }
}
