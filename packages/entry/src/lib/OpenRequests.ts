import { type Span } from "@opentelemetry/api";
import { type ServerResponse } from "node:http";

/**
 * One request in progress.
 *
 * @internal
 */
export class OpenRequest {
    /** The span of the whole request. */
    readonly span: Span;
    private abortHandler: (() => void) | undefined;
    private answeredHandler: (() => void) | undefined;
    private spanEnded = false;

    constructor(span: Span) {
        this.span = span;
    }

    /** Sets the function that aborts the request when the process must stop. */
    onAbort(handler: () => void): void {
        this.abortHandler = handler;
    }

    /** Sets a function that runs once, when the request needs nothing more from targets, regardless of its result. */
    onAnswered(handler: () => void): void {
        this.answeredHandler = handler;
    }

    /** Marks that the request needs nothing more from targets; only its response may still have to be written out. */
    answered(): void {
        this.abortHandler = undefined;
        this.answeredHandler?.();
        this.answeredHandler = undefined;
        if (!this.spanEnded) {
            this.spanEnded = true;
            this.span.end();
        }
    }

    /** Aborts the request. */
    abort(): void {
        this.abortHandler?.();
    }
}

/** The caller's side of a request. */
interface AddedExchange {
    readonly response: ServerResponse;
    readonly onDisconnect: (handler: () => void) => void;
}

/**
 * The requests in progress, each from the arrival of its headers to the last byte of its response.
 *
 * @internal
 */
export class OpenRequests {
    private readonly open = new Map<OpenRequest, ServerResponse>();

    get count(): number {
        return this.open.size;
    }

    add(request: OpenRequest, { response, onDisconnect }: AddedExchange): void {
        this.open.set(request, response);
        // Later, so that the handlers of its run can cancel it before.
        onDisconnect(() => queueMicrotask(() => this.remove(request)));
        response.once("close", () => this.remove(request));
    }

    /** Aborts all requests in progress and returns their number. */
    abortAll(): number {
        const aborted = [...this.open];
        for (const [request, response] of aborted) {
            request.abort();
            if (!response.writableEnded) {
                response.destroy();
            }
        }
        return aborted.length;
    }

    private remove(request: OpenRequest): void {
        if (this.open.delete(request)) {
            request.answered();
        }
    }
}
