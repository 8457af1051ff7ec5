import { type Clock, ManualClock } from "@waxwingspar/utils";
import { EventEmitter } from "node:events";
import { type ServerResponse } from "node:http";
import { CallerPresence } from "../server/CallerPresence.js";

/** Records a gateway's answer in place of a caller's connection. */
export class SimulatedAnswer extends EventEmitter {
    statusCode = 0;
    headersSent = false;
    body = "";
    /** Set once the answer has ended or was aborted. */
    isOver = false;
    /** Set once the answer has ended without being aborted. */
    isComplete = false;
    readonly presence = new CallerPresence();
    /** Longest time in milliseconds in which the caller received nothing. */
    longestPause = 0;
    private lastAt: number;
    /** Number of heads that the writer refuses before it takes one, as Node.js does with malformed ones. */
    refusedHeads = 0;
    /** The `Retry-After` header in seconds. */
    retryAfter: number | undefined;

    constructor(private readonly clock: Clock = new ManualClock()) {
        super();
        this.lastAt = clock.now();
    }

    /** This object with the type that the gateway's code expects. */
    get response(): ServerResponse {
        return this as unknown as ServerResponse;
    }

    /** The result code in the body, if the gateway gave one. */
    get resultNumber(): number | undefined {
        return this.body.startsWith("{") ? (JSON.parse(this.body) as { readonly code: number; }).code : undefined;
    }

    /** Whether the answer has a `Retry-After` header. */
    get hasRetryAfter(): boolean {
        return this.retryAfter !== undefined;
    }

    writeHead(status: number, headers: Readonly<Record<string, unknown>>): void {
        if (this.refusedHeads > 0) {
            this.refusedHeads--;
            throw new RangeError("the head is malformed");
        }
        this.statusCode = status;
        this.retryAfter = headers["Retry-After"] === undefined ? undefined : Number(headers["Retry-After"]);
        this.headersSent = true;
    }

    write(chunk: Buffer, onLeft?: () => void): boolean {
        this.addImplicitHead();
        this.body += chunk.toString();
        this.notePause();
        onLeft?.();
        return true;
    }

    end(chunk?: Buffer, onLeft?: () => void): void {
        this.addImplicitHead();
        this.body += chunk?.toString() ?? "";
        onLeft?.();
        this.isComplete = true;
        this.finish();
    }

    destroy(): void {
        this.finish();
    }

    /** Simulates the loss of the connection, as when the gateway is killed. */
    breakConnection(): void {
        this.presence.leave();
        this.finish();
    }

    /** Calls the listener when the answer is over, immediately if it already is. */
    whenOver(listener: () => void): void {
        if (this.isOver) {
            listener();
            return;
        }
        this.once("finish", listener);
    }

    /** Node.js writes a head of its own before the first bytes of an answer without one. */
    private addImplicitHead(): void {
        if (!this.headersSent) {
            this.writeHead(200, {});
        }
    }

    private notePause(): void {
        const now = this.clock.now();
        this.longestPause = Math.max(this.longestPause, now - this.lastAt);
        this.lastAt = now;
    }

    private finish(): void {
        if (!this.isOver) {
            this.notePause();
            this.isOver = true;
            this.emit("finish");
        }
    }
}
