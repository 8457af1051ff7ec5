import { type IncomingMessage, ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type GuardedConnection } from "./GuardedConnection.js";

/** The connections that are guarded, by their sockets. @internal */
export const guardedConnections = new WeakMap<Socket, GuardedConnection>();

/**
 * A response whose bytes are counted while they wait to be written, and whose head tells whether its connection closes.
 *
 * @internal
 */
export class CountedResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
    /** Node.js writes every head by this method, also one that the application leaves to it. */
    override writeHead(...given: unknown[]): this {
        const connection = guardedConnections.get(this.req.socket);
        connection?.beginAnswer(this);
        super.writeHead(...given as Parameters<ServerResponse["writeHead"]>);
        connection?.noteHead(this);
        return this;
    }

    override write(chunk: unknown, encoding?: unknown, callback?: unknown): boolean {
        const isReady = super.write(chunk, encoding as BufferEncoding, callback as () => void);
        this.count();
        return isReady;
    }

    override end(chunk?: unknown, encoding?: unknown, callback?: unknown): this {
        super.end(chunk, encoding as BufferEncoding, callback as () => void);
        this.count();
        return this;
    }

    private count(): void {
        guardedConnections.get(this.req.socket)?.updateAnswers();
    }
}
