import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { once } from "node:events";
import { type AddressInfo, createServer, Socket } from "node:net";

/** How a server stops a reply. */
const stops = ["end", "reset", "silence", "bytewise"] as const;

/** A reply of a server that stops somewhere, or not at all. */
export interface CutReply {
    /** What the server sends. */
    readonly sent: Buffer;
    /** What it leaves out. */
    readonly rest: Buffer;
    readonly stop: (typeof stops)[number];
    /** Whether all of the head is sent. */
    readonly hasHead: boolean;
    /** Whether a client can know that the reply is whole. */
    readonly isWhole: boolean;
    /** Whether all of a body is sent, with a status of success. */
    readonly hasContent: boolean;
    /** Whether its form is one that parsers may refuse. */
    readonly mayBeRefused: boolean;
    /** Whether the server leaves the connection open for a next request. */
    readonly isKeptOpen: boolean;
}

/** What a client reported of a reply. */
export interface SeenReply {
    readonly hasHead: boolean;
    readonly isWhole: boolean;
}

const interimHeads = ["HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 102 Wait\r\n\r\n"];
/** Milliseconds that a server is silent before it closes. */
const silence = 1;

/** A whole reply. */
interface Reply {
    readonly head: string;
    readonly body: Buffer;
    /** Whether its body ends with the connection. */
    readonly isOpen: boolean;
    readonly hasContent: boolean;
    readonly mayBeRefused: boolean;
}

function* replies(): Generator<Reply> {
    const body = Buffer.from("{}");
    const chunk = (bytes: Buffer) => [Buffer.from(`${bytes.length.toString(16)};x=y\r\n`), bytes, Buffer.from("\r\n")];
    const middle = Math.ceil(body.length / 2);
    const chunks = Buffer.concat([
        ...chunk(body.subarray(0, middle)),
        ...chunk(body.subarray(middle)),
        Buffer.from("0\r\nX-Sum: 1\r\n\r\n"),
    ]);
    const framings: [string[], Buffer][] = [
        [[`Content-Length: ${body.length}`], body],
        [["Transfer-Encoding: chunked"], chunks],
        [[], body],
        [["Content-Length: 0"], Buffer.alloc(0)],
    ];
    const forms: [string, number, string][] = [
        ["200 OK", 0, "\r\n"],
        ["200 OK", 1, "\r\n"],
        ["200 OK", 2, "\r\n"],
        ["503 Busy", 0, "\r\n"],
        ["204 None", 0, "\r\n"],
        ["200 OK", 0, "\n"],
    ];
    for (const [form, [status, interim, newline]] of forms.entries()) {
        const isBodiless = status.startsWith("204");
        for (const [framing, [lines, bytes]] of framings.entries()) {
            const connections = [["Connection: close"], []];
            for (const connection of form === 0 ? connections : connections.slice((form + framing) % 2).slice(0, 1)) {
                const last = [`HTTP/1.1 ${status}`, "X: 1", ...lines, ...connection, "", ""].join(newline);
                yield {
                    head: [...interimHeads.slice(0, interim), last].join(""),
                    body: isBodiless ? Buffer.alloc(0) : bytes,
                    isOpen: lines.length === 0 && !isBodiless,
                    hasContent: status === "200 OK" && bytes.length > 0,
                    // A status without a body may have no length.
                    mayBeRefused: newline === "\n" || (isBodiless && bytes.length > 0),
                };
            }
        }
    }
}

/**
 * Lists replies that stop at each offset, and whole ones: in heads with one of the ways of stopping in turn, later with
 * each of them.
 */
export function* listCutReplies(): Generator<CutReply> {
    let turn = 0;
    for (const { head, body: framed, isOpen, hasContent, mayBeRefused } of replies()) {
        const whole = Buffer.concat([Buffer.from(head), framed]);
        for (let offset = 1; offset <= whole.length; offset++) {
            const hasHead = offset >= head.length;
            const first = turn++ % stops.length;
            for (const stop of hasHead ? stops : stops.slice(first, first + 1)) {
                const isWhole = isOpen ? hasHead && stop !== "reset" : offset === whole.length;
                yield {
                    sent: whole.subarray(0, offset),
                    rest: whole.subarray(offset),
                    stop,
                    hasHead,
                    isWhole,
                    hasContent: hasContent && offset === whole.length,
                    mayBeRefused,
                    isKeptOpen: isWhole && !isOpen && stop !== "reset" && !head.includes("close"),
                };
            }
        }
    }
}

/** Options of {@link findMisread}. */
export interface MisreadOptions {
    /** Makes one request to a port of this host, and reports what the client made of the reply. */
    readonly read: (port: number) => Promise<SeenReply>;
    /** Whether the client takes no reply without content for a success. */
    readonly needsContent?: boolean;
    /** Of how many replies one is played; by default all are. */
    readonly step?: number;
}

/**
 * Plays cut and whole replies to a client one after the other, with its parser and with one that takes each cut reply
 * for whole once all that the server sends has arrived.
 *
 * @returns The replies of which the client reported more than there was, or less of a whole one.
 */
export async function findMisread(options: MisreadOptions): Promise<string[]> {
    return [...await playAll(options, false), ...await playAll(options, true)];
}

async function playAll(options: MisreadOptions, isParserLenient: boolean): Promise<string[]> {
    const { read, needsContent = false, step = 1 } = options;
    let present: CutReply | undefined;
    const sockets = new Set<Socket>();
    /** Those that the server closes. A client may open others ahead, or keep them. */
    const ending = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket.setNoDelay(true));
        socket.on("close", () => [sockets, ending].forEach(set => set.delete(socket)));
        socket.on("error", () => undefined);
        socket.on("data", () => {
            if (present?.isKeptOpen === false) {
                ending.add(socket);
            }
            void (present !== undefined && play(socket, present));
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const soften = (message: unknown) => completeForParser((message as { socket: Socket; }).socket, () => present);
    if (isParserLenient) {
        subscribe("net.client.socket", soften);
    }
    const misread: string[] = [];
    for (const [index, reply] of [...listCutReplies()].entries()) {
        if (index % step !== 0) {
            continue;
        }
        present = reply;
        const seen = await read(port);
        while (ending.size > 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        if (seen.isWhole && !reply.isKeptOpen) {
            // The client may have kept the connection, and has yet to read its end.
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        const isTooMuch = (seen.hasHead && !reply.hasHead) || (seen.isWhole && !reply.isWhole);
        // A reset may overtake what was sent before it.
        const mayFail = reply.stop === "reset" || reply.mayBeRefused || (needsContent && !reply.hasContent);
        if (isTooMuch || (reply.isWhole && !seen.isWhole && !mayFail)) {
            const fault = isTooMuch ? "false success" : "false failure";
            const parser = isParserLenient ? "lenient parser" : "parser";
            misread.push(`${fault}, ${parser}: ${reply.stop} after ${JSON.stringify(reply.sent.toString("latin1"))}`);
        }
    }
    unsubscribe("net.client.socket", soften);
    sockets.forEach(socket => socket.destroy());
    server.close();
    return misread;
}

/**
 * Gives the readers of a client's socket the rest of a cut reply, which has not been received: as if the parser were so
 * lenient that it took the reply for whole.
 */
function completeForParser(socket: Socket, present: () => CutReply | undefined): void {
    let reply: CutReply | undefined;
    let received = 0;
    socket.push = (...pushed: Parameters<Socket["push"]>) => {
        received = reply === present() ? received : 0;
        reply = present();
        const chunk: unknown = pushed[0];
        const mayRead = Socket.prototype.push.apply(socket, pushed);
        received += chunk instanceof Uint8Array ? chunk.length : 0;
        return received === reply?.sent.length && chunk instanceof Uint8Array && reply.rest.length > 0
            ? Socket.prototype.push.call(socket, reply.rest)
            : mayRead;
    };
}

async function play(socket: Socket, { sent, stop, isKeptOpen }: CutReply): Promise<void> {
    const pieces = stop === "bytewise" ? Array.from(sent, byte => Buffer.of(byte)) : [sent];
    for (const piece of pieces) {
        await new Promise(resolve => socket.write(piece, resolve));
    }
    if (stop === "reset") {
        setImmediate(() => socket.resetAndDestroy());
        return;
    }
    if (stop === "silence") {
        await new Promise(resolve => setTimeout(resolve, silence));
    }
    if (!isKeptOpen) {
        socket.end();
    }
}
