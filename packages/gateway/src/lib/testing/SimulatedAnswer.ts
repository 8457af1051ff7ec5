import { EventEmitter } from "node:events";
import { type ServerResponse } from "node:http";

/** Takes what a gateway answers, in place of a connection to a caller. */
export class SimulatedAnswer extends EventEmitter {
    statusCode = 0;
    headersSent = false;
    body = "";
    /** Set once the answer has ended, or was broken off. */
    isOver = false;
    isWhole = false;
    /** Whether the gateway told when to come back. */
    hasRetryAfter = false;

    /** As the gateway's code takes it. */
    get response(): ServerResponse {
        return this as unknown as ServerResponse;
    }

    /** The numbered result that the gateway gave, if it gave one. */
    get resultNumber(): number | undefined {
        return this.body.startsWith("{") ? (JSON.parse(this.body) as { readonly code: number; }).code : undefined;
    }

    writeHead(status: number, headers: object): void {
        this.statusCode = status;
        this.hasRetryAfter = "Retry-After" in headers;
        this.headersSent = true;
    }

    write(chunk: Buffer, onLeft?: () => void): boolean {
        this.body += chunk.toString();
        onLeft?.();
        return true;
    }

    end(chunk?: Buffer, onLeft?: () => void): void {
        this.body += chunk?.toString() ?? "";
        onLeft?.();
        this.isWhole = true;
        this.finish();
    }

    destroy(): void {
        this.finish();
    }

    /** The connection is lost, as when the gateway is killed. */
    breakConnection(): void {
        this.emit("close");
        this.finish();
    }

    /** Calls back when the answer is over, at once if it is already. */
    whenOver(listener: () => void): void {
        if (this.isOver) {
            listener();
            return;
        }
        this.once("finish", listener);
    }

    private finish(): void {
        if (!this.isOver) {
            this.isOver = true;
            this.emit("finish");
        }
    }
}
