/** Smallest buffer in bytes that pieces are copied into. */
const minCapacity = 256;
const empty = Buffer.alloc(0);

/**
 * Joins pieces of bytes. The work grows with the bytes and not with the number of pieces times the bytes, and a piece of
 * one byte takes one byte of memory. A sole piece is kept without a copy.
 */
export class ByteAccumulator {
    private buffer: Buffer = empty;
    private size = 0;
    /** Whether the buffer belongs to this object, so that it may be written to. */
    private isOwned = false;

    /** Number of bytes that are held. */
    get length(): number {
        return this.size;
    }

    add(piece: Buffer): void {
        if (piece.length === 0) {
            return;
        }
        if (this.size === 0) {
            this.buffer = piece;
            this.isOwned = false;
            this.size = piece.length;
            return;
        }
        this.reserve(this.size + piece.length);
        piece.copy(this.buffer, this.size);
        this.size += piece.length;
    }

    /** Removes and returns all bytes. */
    take(): Buffer {
        const { buffer, size } = this;
        const bytes = buffer.length === size ? buffer : buffer.subarray(0, size);
        this.buffer = empty;
        this.size = 0;
        return bytes;
    }

    private reserve(needed: number): void {
        if (this.isOwned && this.buffer.length >= needed) {
            return;
        }
        const larger = Buffer.allocUnsafe(Math.max(minCapacity, needed * 2));
        this.buffer.copy(larger, 0, 0, this.size);
        this.buffer = larger;
        this.isOwned = true;
    }
}
