import { type CallerReply } from "@waxwingspar/platform/testing";

/** A reply, undefined while it is not complete, and the number of bytes that it takes. */
interface ReadReply {
    readonly reply: CallerReply | undefined;
    readonly length: number;
}

/** The body of a reply: its bytes, perhaps in chunks, and where it ends; infinity if that has not come yet. */
interface ReadBody {
    readonly parts: readonly Buffer[];
    readonly length: number;
}

const headEnd = "\r\n\r\n";
const lineEnd = "\r\n";
const hexadecimal = 16;

/** Splits the bytes of a connection into replies. */
export class ReplyReader {
    private chunks: Buffer[] = [];
    private size = 0;
    /** Bytes before which the next reply is not complete. */
    private needed = 0;

    /** @returns The replies that are whole now. */
    add(bytes: Buffer): CallerReply[] {
        this.chunks.push(bytes);
        this.size += bytes.length;
        if (this.size < this.needed) {
            return [];
        }
        let received = Buffer.concat(this.chunks);
        const replies: CallerReply[] = [];
        let read = readReply(received);
        while (read?.reply !== undefined) {
            replies.push(read.reply);
            received = received.subarray(read.length);
            read = readReply(received);
        }
        this.chunks = [received];
        this.size = received.length;
        this.needed = read !== undefined && read.length < Infinity ? read.length : 0;
        return replies;
    }

    /** @returns The reply that had begun when the connection ended. One without a length is whole then. */
    end(): CallerReply | undefined {
        return readReply(Buffer.concat(this.chunks), true)?.reply;
    }
}

/** @returns The reply at the start of the bytes; undefined if its head is not complete. */
function readReply(bytes: Buffer, hasEnded = false): ReadReply | undefined {
    const headLength = bytes.indexOf(headEnd);
    if (headLength < 0) {
        return undefined;
    }
    const [statusLine = "", ...lines] = bytes.subarray(0, headLength).toString("latin1").split(lineEnd);
    const headers: Record<string, string | undefined> = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const start = headLength + headEnd.length;
    const isChunked = headers["transfer-encoding"] === "chunked";
    const size = headers["content-length"];
    const { parts, length } = isChunked ? readChunks(bytes, start) : readSized(bytes, start, Number(size ?? Infinity));
    const isComplete = length <= bytes.length;
    if (!isComplete && !hasEnded) {
        return { reply: undefined, length };
    }
    const status = Number(statusLine.split(" ")[1]);
    const isWhole = isComplete || (!isChunked && size === undefined);
    return { reply: { status, headers, body: Buffer.concat(parts).toString(), isComplete: isWhole }, length };
}

function readSized(bytes: Buffer, start: number, size: number): ReadBody {
    return { parts: [bytes.subarray(start, start + size)], length: start + size };
}

function readChunks(bytes: Buffer, start: number): ReadBody {
    const parts: Buffer[] = [];
    for (let at = start;;) {
        const sizeEnd = bytes.indexOf(lineEnd, at);
        const size = Number.parseInt(bytes.subarray(at, Math.max(at, sizeEnd)).toString(), hexadecimal);
        const from = sizeEnd + lineEnd.length;
        const next = from + size + lineEnd.length;
        if (sizeEnd < 0 || bytes.length < next) {
            return { parts, length: Infinity };
        }
        if (size === 0) {
            return { parts, length: next };
        }
        parts.push(bytes.subarray(from, from + size));
        at = next;
    }
}
