import { connect, type Socket } from "node:net";

/** An answer as a caller has read it. @internal */
export interface RawAnswer {
    readonly status: number;
    /** The `X-Request-Id` of its head. */
    readonly id: string | undefined;
    /** Whether its head says that the connection closes. */
    readonly closes: boolean;
    readonly body: string;
    /** Whether its body came to the end that HTTP announces. */
    readonly isWhole: boolean;
}

/** Turns of the event loop after which a byte on loopback has been handled. */
const turns = 12;

/** Lets everything that is on its way be handled. @internal */
export async function settle(): Promise<void> {
    for (let turn = 0; turn < turns; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** A caller that sends bytes and reads what comes, whatever its requests. @internal */
export class RawCaller {
    readonly socket: Socket;
    isClosed = false;
    private received = "";

    constructor(port: number) {
        this.socket = connect(port, "127.0.0.1");
        this.socket.setNoDelay(true);
        this.socket.on("data", data => this.received += data.toString("latin1"));
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => this.isClosed = true);
    }

    /** Whether further bytes can be sent. */
    get isOpen(): boolean {
        return this.socket.writable && !this.socket.readableEnded;
    }

    /** Sends bytes, unless the connection has ended. */
    send(text: string): void {
        if (this.isOpen) {
            this.socket.write(text);
        }
    }

    /** The answers that have begun. */
    get answers(): readonly RawAnswer[] {
        const answers: RawAnswer[] = [];
        for (let rest = this.received; rest !== "";) {
            const end = rest.indexOf("\r\n\r\n");
            if (end < 0) {
                break;
            }
            const head = rest.slice(0, end);
            const { body, length } = readBody(head, rest.slice(end + 4));
            answers.push({
                status: Number(head.slice(9, 12)),
                id: /^X-Request-Id: (.*)$/im.exec(head)?.[1],
                closes: /^Connection: close$/im.test(head),
                body,
                isWhole: length !== undefined,
            });
            rest = length === undefined ? "" : rest.slice(end + 4 + length);
        }
        return answers;
    }
}

/** @returns The body, and the number of bytes that it takes, if its end has come. */
function readBody(head: string, text: string): { readonly body: string; readonly length?: number; } {
    const announced = /^Content-Length: (\d+)$/im.exec(head)?.[1];
    if (announced !== undefined) {
        const length = Number(announced);
        return text.length < length ? { body: text } : { body: text.slice(0, length), length };
    }
    let body = "";
    for (let at = 0;;) {
        const [line, size = ""] = /^([0-9a-f]+)\r\n/.exec(text.slice(at)) ?? [];
        if (line === undefined) {
            return { body };
        }
        const start = at + line.length;
        const next = start + parseInt(size, 16) + 2;
        if (text.length < next) {
            return { body };
        }
        if (size === "0") {
            return { body, length: next };
        }
        body += text.slice(start, next - 2);
        at = next;
    }
}
