import { type IncomingMessage } from "node:http";
import { BodyBuffer } from "./BodyBuffer.js";
import { guardedConnections } from "./CountedResponse.js";

/** Options of {@link readBody}. @public */
export interface BodyOptions {
    /** Maximum bytes. */
    readonly maxBytes: number;
    /** Called with the whole body; undefined if the request has none. */
    readonly onBody: (body: Buffer | undefined) => void;
    /** Called instead, as soon as the body is known to exceed its limit or to find no memory. */
    readonly onRefused: (reason: "tooLarge" | "memory") => void;
    /** Calls a function when the memory of the body is not needed any more. */
    readonly whenOver: (callback: () => void) => void;
}

/**
 * Reads the body of a request on a connection of a `GuardedServer`. Its memory is counted before it is taken, an announced
 * length as a whole; what comes after a refusal is dropped.
 *
 * @public
 */
export function readBody(incoming: IncomingMessage, { maxBytes, onBody, onRefused, whenOver }: BodyOptions): void {
    const connection = guardedConnections.get(incoming.socket);
    const announced = announcedLength(incoming);
    let held = 0;
    let isOver = false;
    const reserve = (bytes: number) => {
        const hasRoom = connection?.reserve(bytes) !== false;
        held += hasRoom ? bytes : 0;
        return hasRoom;
    };
    const release = (bytes: number) => {
        held -= bytes;
        connection?.release(bytes);
    };
    const refuse = (reason: "tooLarge" | "memory") => {
        isOver = true;
        body.clear();
        release(held);
        onRefused(reason);
    };
    const body = new BodyBuffer({ announced, reserve, release });
    incoming.on("data", (chunk: Buffer) => {
        if (isOver) {
            return;
        }
        if (body.length + chunk.length > maxBytes) {
            refuse("tooLarge");
        }
        else if (!body.add(chunk)) {
            refuse("memory");
        }
    });
    incoming.once("end", () => {
        if (isOver || !incoming.complete) {
            return;
        }
        const bytes = hasBody(incoming) ? body.take() : undefined;
        if (bytes === undefined && body.length > 0) {
            refuse("memory");
            return;
        }
        onBody(bytes);
    });
    const abandon = () => {
        isOver = true;
        body.clear();
        release(held);
    };
    connection?.onAbandonBody(incoming, abandon);
    whenOver(abandon);
    if (announced !== undefined && announced > maxBytes) {
        refuse("tooLarge");
    }
    else if (!reserve(announced ?? 0)) {
        refuse("memory");
    }
}

/** @returns The length of a body that its head announces, in bytes; undefined for a body in chunks. @internal */
export function announcedLength({ headers }: IncomingMessage): number | undefined {
    return headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : undefined;
}

function hasBody({ headers }: IncomingMessage): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
