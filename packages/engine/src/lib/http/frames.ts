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
    private pieces: Buffer[] = [];
    private bytes = 0;
    /** The bytes that must be there before anything can be cut off. */
    private needed = lengthBytes;

    /** @param limit - The most bytes that a frame may have; a longer one is an error. */
    constructor(private readonly limit: number) {}

    /**
     * Takes bytes.
     *
     * @returns The bodies of the frames that are whole now, or undefined if a frame exceeds the limit.
     */
    push(piece: Buffer): Buffer[] | undefined {
        this.pieces.push(piece);
        this.bytes += piece.length;
        // Pieces are joined only when they complete something, so that a long frame is copied once.
        return this.bytes < this.needed ? [] : this.cut(Buffer.concat(this.pieces, this.bytes));
    }

    private cut(joined: Buffer): Buffer[] | undefined {
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
        this.pieces = [rest];
        this.bytes = rest.length;
        return bodies;
    }
}
