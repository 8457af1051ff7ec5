import { type Clock } from "@waxwingspar/utils";

/** Bytes of a connection that were received and wait to be parsed. */
export class UnreadInput {
    private readonly chunks: Buffer[] = [];
    private lastAt: number;
    private dropped = 0;

    constructor(private readonly clock: Pick<Clock, "now">) {
        this.lastAt = clock.now();
    }

    get isEmpty(): boolean {
        return this.chunks.length === 0;
    }

    /** Bytes that were received and will never be parsed. */
    get droppedBytes(): number {
        return this.dropped;
    }

    /** Milliseconds since the last bytes were received. */
    get age(): number {
        return this.clock.now() - this.lastAt;
    }

    add(chunk: Buffer): void {
        this.lastAt = this.clock.now();
        this.chunks.push(chunk);
    }

    /** Takes the next bytes, some of the oldest chunk. */
    take(maxBytes: number): Buffer {
        const [chunk = empty] = this.chunks;
        if (chunk.length <= maxBytes) {
            this.chunks.shift();
            return chunk;
        }
        this.chunks[0] = chunk.subarray(maxBytes);
        return chunk.subarray(0, maxBytes);
    }

    /** Records bytes that are not kept. */
    refuse(bytes: number): void {
        this.lastAt = this.clock.now();
        this.dropped += bytes;
    }

    /** Drops what waits. @returns Its bytes. */
    drop(): number {
        const bytes = this.chunks.reduce((sum, { length }) => sum + length, 0);
        this.chunks.length = 0;
        this.dropped += bytes;
        return bytes;
    }
}

const empty = Buffer.alloc(0);
