const lengthBytes = 4;

/** Puts the length of a body, as 32 bits with the highest byte first, before it. @internal */
export function toFrame(body: Uint8Array): Buffer {
    const frame = Buffer.allocUnsafe(lengthBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    frame.set(body, lengthBytes);
    return frame;
}

/**
 * Cuts a stream of bytes into the frames that {@link toFrame} made.
 *
 * @internal
 */
export class FrameReader {
    private rest: Buffer = Buffer.alloc(0);

    /** @param limit - The most bytes that a frame may have; a longer one is an error. */
    constructor(private readonly limit: number) {}

    /**
     * Takes bytes.
     *
     * @returns The bodies of the frames that are whole now, or undefined if a frame exceeds the limit.
     */
    push(bytes: Buffer): Buffer[] | undefined {
        this.rest = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
        const bodies: Buffer[] = [];
        while (this.rest.length >= lengthBytes) {
            const end = lengthBytes + this.rest.readUInt32BE(0);
            if (end - lengthBytes > this.limit) {
                return undefined;
            }
            if (this.rest.length < end) {
                break;
            }
            bodies.push(this.rest.subarray(lengthBytes, end));
            this.rest = this.rest.subarray(end);
        }
        return bodies;
    }
}
