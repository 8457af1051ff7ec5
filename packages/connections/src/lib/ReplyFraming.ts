/** Bytes of control characters. */
const lineFeed = 10;
const carriageReturn = 13;
/** Characters that a head may have. Parsers give up far earlier. */
const maxHead = 1_048_576;
/** Hexadecimal digits that the size of a chunk may have. */
const maxSizeDigits = 16;
const firstFinalStatus = 200;
/** Statuses of replies without a body. */
const bodilessStatuses = new Set([204, 304]);

/** What the next byte belongs to. */
type Part =
    | "head"
    | "body"
    | "chunkSize"
    | "chunkExtension"
    | "chunk"
    | "chunkEnd"
    | "trailers"
    /** The body ends with the connection. */
    | "open"
    /** The framing is ambiguous or malformed: where the reply ends is unknown. */
    | "broken";

/** Options of {@link ReplyFraming}. @public */
export interface ReplyFramingOptions {
    /** Whether the next reply answers a HEAD request, so that it has no body. */
    readonly isHeadRequest?: () => boolean;
}

/**
 * Knows from the bytes of a connection which of its replies have a complete head and which are whole.
 *
 * Invariant: a final reply counts in {@link heads} only once the blank line after its header lines has been received,
 * and in {@link wholes} only once all bytes of its length, or its last chunk and the blank line after its trailers,
 * have been received; a reply that ends with its connection counts in {@link wholes} only if the peer ended the connection
 * in order. Interim replies never count. No parser takes part, so a reply that a parser reports and that doesn't
 * count was cut, whatever that parser tolerates.
 *
 * Only heads, the lines around chunks and trailers are examined; bodies are skipped.
 *
 * @public
 */
export class ReplyFraming {
    private part: Part = "head";
    /** The received part of a head, without the ends of its lines. */
    private lines: string[] = [];
    private line = "";
    private headLength = 0;
    /** Bytes of the body or of the chunk that have not arrived. */
    private left = 0;
    private sizeDigits = 0;
    private trailerLength = 0;
    private headCount = 0;
    private wholeCount = 0;

    constructor(private readonly options: ReplyFramingOptions = {}) {}

    /** Number of final replies whose heads have ended. */
    get heads(): number {
        return this.headCount;
    }

    /** Number of final replies that are whole. */
    get wholes(): number {
        return this.wholeCount;
    }

    /** Takes the next bytes of the connection. */
    receive(bytes: Uint8Array): void {
        const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
        let at = 0;
        while (at < buffer.length && this.part !== "open" && this.part !== "broken") {
            at = this.receivePart(buffer, at);
        }
    }

    /** Takes the end of the connection; a reset is none. */
    receiveEnd(): void {
        if (this.part === "open") {
            this.endReply();
        }
    }

    /** @returns Where the next part begins. */
    private receivePart(buffer: Buffer, at: number): number {
        switch (this.part) {
            case "head":
                return this.receiveHead(buffer, at);
            case "chunkSize":
                return this.receiveSize(buffer, at);
            case "chunkExtension":
                return this.receiveExtension(buffer, at);
            case "chunkEnd":
                return this.receiveChunkEnd(buffer, at);
            case "trailers":
                return this.receiveTrailers(buffer, at);
            default:
                return this.receiveData(buffer, at);
        }
    }

    private receiveHead(buffer: Buffer, at: number): number {
        const end = buffer.indexOf(lineFeed, at);
        const text = buffer.toString("latin1", at, end === -1 ? buffer.length : end);
        this.headLength += text.length;
        if (this.headLength > maxHead) {
            this.part = "broken";
        }
        if (end === -1) {
            this.line += text;
            return buffer.length;
        }
        const whole = this.line + text;
        const line = whole.endsWith("\r") ? whole.slice(0, -1) : whole;
        this.line = "";
        if (line !== "") {
            this.lines.push(line);
        }
        // Parsers skip blank lines before a reply.
        else if (this.lines.length > 0) {
            this.endHead();
        }
        return end + 1;
    }

    private endHead(): void {
        const [first = "", ...fields] = this.lines;
        this.lines = [];
        this.headLength = 0;
        const status = Number(/^HTTP\/\d\.\d (\d{3})(?: |$)/.exec(first)?.[1]);
        if (Number.isNaN(status)) {
            this.part = "broken";
        }
        else if (status >= firstFinalStatus) {
            this.headCount++;
            this.beginBody(status, fields);
        }
    }

    private beginBody(status: number, fields: readonly string[]): void {
        const { codings, lengths, isFolded } = readFraming(fields);
        const [length] = lengths;
        if (bodilessStatuses.has(status) || this.options.isHeadRequest?.() === true) {
            this.endReply();
        }
        else if (isFolded || (codings.length > 0 ? lengths.length > 0 : lengths.length > 1)) {
            this.part = "broken";
        }
        else if (codings.length > 0) {
            this.part = codings.at(-1) === "chunked" ? "chunkSize" : "open";
        }
        else if (length === undefined) {
            this.part = "open";
        }
        else if (!/^\d{1,15}$/.test(length)) {
            this.part = "broken";
        }
        else {
            this.left = Number(length);
            this.part = "body";
            if (this.left === 0) {
                this.endReply();
            }
        }
    }

    private receiveSize(buffer: Buffer, from: number): number {
        let at = from;
        for (; at < buffer.length; at++) {
            const digit = hexValue(buffer[at]);
            if (digit === undefined) {
                this.part = this.sizeDigits === 0 ? "broken" : "chunkExtension";
                break;
            }
            this.left = this.left * 16 + digit;
            if (++this.sizeDigits > maxSizeDigits) {
                this.part = "broken";
                break;
            }
        }
        return at;
    }

    private receiveExtension(buffer: Buffer, at: number): number {
        const end = buffer.indexOf(lineFeed, at);
        if (end === -1) {
            return buffer.length;
        }
        this.sizeDigits = 0;
        this.part = this.left === 0 ? "trailers" : "chunk";
        return end + 1;
    }

    private receiveData(buffer: Buffer, at: number): number {
        const taken = Math.min(this.left, buffer.length - at);
        this.left -= taken;
        if (this.left === 0) {
            if (this.part === "body") {
                this.endReply();
            }
            else {
                this.part = "chunkEnd";
            }
        }
        return at + taken;
    }

    private receiveChunkEnd(buffer: Buffer, at: number): number {
        const byte = buffer[at];
        if (byte === lineFeed) {
            this.part = "chunkSize";
        }
        else if (byte !== carriageReturn) {
            this.part = "broken";
        }
        return at + 1;
    }

    private receiveTrailers(buffer: Buffer, at: number): number {
        const byte = buffer[at];
        if (byte !== lineFeed) {
            this.trailerLength += byte === carriageReturn ? 0 : 1;
        }
        else if (this.trailerLength > 0) {
            this.trailerLength = 0;
        }
        else {
            this.endReply();
        }
        return at + 1;
    }

    private endReply(): void {
        this.wholeCount++;
        this.part = "head";
    }
}

/** The values of a head that say where its body ends. */
function readFraming(fields: readonly string[]): { codings: string[]; lengths: string[]; isFolded: boolean; } {
    const codings: string[] = [];
    const lengths: string[] = [];
    let isFraming = false;
    let isFolded = false;
    for (const field of fields) {
        if (field.startsWith(" ") || field.startsWith("\t")) {
            isFolded ||= isFraming;
            continue;
        }
        const colon = field.indexOf(":");
        const name = field.slice(0, Math.max(colon, 0)).trim().toLowerCase();
        isFraming = name === "content-length" || name === "transfer-encoding";
        if (isFraming) {
            const values = field.slice(colon + 1).split(",").map(value => value.trim().toLowerCase());
            (name === "content-length" ? lengths : codings).push(...values);
        }
    }
    return { codings, lengths, isFolded };
}

/** @returns Undefined if the byte is no hexadecimal digit. */
function hexValue(byte = 0): number | undefined {
    const zero = 48;
    const a = 97;
    const lowerCase = byte | 0x20;
    if (byte >= zero && byte < zero + 10) {
        return byte - zero;
    }
    return lowerCase >= a && lowerCase < a + 6 ? lowerCase - a + 10 : undefined;
}
