/** What one client sends on its connection. It reads nothing unless `reads` is set. */
export interface ClientScript {
    /** Sent once, first. */
    readonly opening: string;
    /** Sent again and again after it. */
    readonly block?: Buffer;
    /** Number of bytes sent in blocks; the last block is cut. */
    readonly blockBytes?: number;
    /** Whether the client reads what it is sent. */
    readonly reads?: boolean;
}

/** The largest body in the users' configurations, in bytes. */
export const largestBody = 4_194_304;

const crlf = "\r\n";

/** Options of the head of a request. */
export interface HeadOptions {
    readonly path: string;
    readonly method?: string;
    readonly headers?: readonly string[];
}

/** The head of a request with a valid credential. */
export function head({ path, method = "POST", headers = [] }: HeadOptions): string {
    const common = ["Host: a.example", "Authorization: Bearer key-1", "Waxwingspar-Request-Id: r-1"];
    return [`${method} ${path} HTTP/1.1`, ...common, ...headers, "", ""].join(crlf);
}

function chunkOf(bytes: number): Buffer {
    return Buffer.concat([
        Buffer.from(`${bytes.toString(16)}${crlf}`),
        Buffer.alloc(bytes, "x"),
        Buffer.from(crlf),
    ]);
}

/** Repeats a short text up to about 64 KB, so that a client sends many of them in one write. */
function repeated(text: string): Buffer {
    return Buffer.from(text.repeat(Math.ceil(65_536 / text.length)));
}

const chunked = ["Transfer-Encoding: chunked"];

/** Announces a body of a gigabyte and sends what it can of it. */
export function announcedBody(path: string, headers: readonly string[] = []): ClientScript {
    const opening = head({ path, headers: ["Content-Length: 1073741824", ...headers] });
    return { opening, block: Buffer.alloc(65_536, "x"), blockBytes: 33_554_432 };
}

/** Sends a body in chunks, far beyond the limit, and never ends it. */
export function endlessChunks(path: string): ClientScript {
    return { opening: head({ path, headers: chunked }), block: chunkOf(65_536), blockBytes: 33_554_432 };
}

/** Sends a body of a given length but for its last byte, and stays. */
export function almostWholeBody(path: string, length: number): ClientScript {
    return {
        opening: head({ path, headers: [`Content-Length: ${length}`] }),
        block: Buffer.alloc(65_536, "x"),
        blockBytes: length - 1,
    };
}

/** Sends a body in chunks up to shortly before a length, never ends it, and stays. */
export function almostWholeChunks(path: string, length: number, chunkBytes: number): ClientScript {
    const chunk = chunkOf(chunkBytes);
    const chunks = Math.floor((length - 1) / chunkBytes);
    const perBlock = Math.max(1, Math.floor(65_536 / chunk.length));
    const block = Buffer.concat(Array.from({ length: perBlock }, () => chunk));
    return { opening: head({ path, headers: chunked }), block, blockBytes: chunks * chunk.length };
}

/** Sends the same request again and again and reads no answer. */
export function requestsAhead(request: string, bytes: number): ClientScript {
    return { opening: request, block: repeated(request), blockBytes: bytes };
}

/** Sends a head that never ends. */
export function headInPieces(bytes: number): ClientScript {
    const line = `X-Filler: ${"x".repeat(80)}${crlf}`;
    const opening = `GET / HTTP/1.1${crlf}Host: a.example${crlf}`;
    return { opening, block: repeated(line), blockBytes: bytes };
}

/** Says nothing. */
export const silence: ClientScript = { opening: "" };
