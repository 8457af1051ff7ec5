/** Options of {@link BodyBuffer}. */
export interface BodyBufferOptions {
    /** Length that the client has announced, in bytes; undefined for a body in chunks. */
    readonly announced: number | undefined;
    /** Asks for bytes of memory before they are taken. An announced length counts as asked for. */
    readonly reserve: (bytes: number) => boolean;
    /** Gives bytes of memory back. */
    readonly release: (bytes: number) => void;
}

/** Bytes of the first block of a body in chunks, and of the largest one. */
const blockBytes = { first: 1_024, largest: 262_144 };

/**
 * Collects the bytes of a body in blocks of its own, so that a piece of one byte takes one byte and keeps no larger
 * buffer alive. A body in chunks takes at most twice its bytes, and at most 256 KB more than these.
 */
export class BodyBuffer {
    private readonly blocks: Buffer[] = [];
    private filled = 0;
    private size = 0;
    private capacity = 0;

    constructor(private readonly options: BodyBufferOptions) {}

    /** Number of bytes that were added. */
    get length(): number {
        return this.size;
    }

    /** @returns False if there is no memory for the piece. */
    add(piece: Buffer): boolean {
        for (let done = 0; done < piece.length;) {
            const block = this.blockWithRoom();
            if (block === undefined) {
                return false;
            }
            const copied = piece.copy(block, this.filled, done);
            this.filled += copied;
            this.size += copied;
            done += copied;
        }
        return true;
    }

    /** @returns The whole body, or undefined if there is no memory to join its blocks. */
    take(): Buffer | undefined {
        const [first] = this.blocks;
        if (first === undefined) {
            return Buffer.alloc(0);
        }
        if (this.blocks.length === 1) {
            return first.subarray(0, this.size);
        }
        if (!this.options.reserve(this.size)) {
            return undefined;
        }
        const body = Buffer.concat(this.blocks, this.size);
        this.options.release(this.capacity);
        this.clear();
        return body;
    }

    /** Drops all bytes. */
    clear(): void {
        this.blocks.length = 0;
        this.filled = 0;
        this.size = 0;
        this.capacity = 0;
    }

    private blockWithRoom(): Buffer | undefined {
        const last = this.blocks.at(-1);
        if (last !== undefined && this.filled < last.length) {
            return last;
        }
        const { announced = 0, reserve } = this.options;
        const isAnnounced = announced > this.capacity;
        const bytes = isAnnounced
            ? announced - this.capacity
            : Math.min(Math.max(this.capacity, blockBytes.first), blockBytes.largest);
        if (!isAnnounced && !reserve(bytes)) {
            return undefined;
        }
        const block = Buffer.allocUnsafeSlow(bytes);
        this.blocks.push(block);
        this.capacity += bytes;
        this.filled = 0;
        return block;
    }
}
