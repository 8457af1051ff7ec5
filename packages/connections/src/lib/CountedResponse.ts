import { type IncomingMessage, ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type GuardedConnection } from "./GuardedConnection.js";

/** The connections that are guarded, by their sockets. @internal */
export const guardedConnections = new WeakMap<Socket, GuardedConnection>();

/**
 * A response whose bytes are counted while they wait to be written.
 *
 * @internal
 */
export class CountedResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
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
