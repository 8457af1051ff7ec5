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
    private cutHandler: (() => void) | undefined;
    private answeredHandler: (() => void) | undefined;
    private spanEnded = false;

    constructor(span: Span) {
        this.span = span;
    }

    /** Sets what cuts the request off when the process must stop. */
    onCut(handler: () => void): void {
        this.cutHandler = handler;
    }

    /** Sets what runs once, when the request needs no more from targets, however it ended. */
    onAnswered(handler: () => void): void {
        this.answeredHandler = handler;
    }

    /** The request needs no more from targets; only the response has to be written out. */
    answered(): void {
        this.cutHandler = undefined;
        this.answeredHandler?.();
        this.answeredHandler = undefined;
        if (!this.spanEnded) {
            this.spanEnded = true;
            this.span.end();
        }
    }

    /** Cuts the request off. */
    cut(): void {
        this.cutHandler?.();
    }
}

/**
 * The requests in progress: from their headers to the last byte of their responses.
 *
 * @internal
 */
export class OpenRequests {
    private readonly open = new Map<OpenRequest, ServerResponse>();
    private emptyHandler: (() => void) | undefined;

    get count(): number {
        return this.open.size;
    }

    add(request: OpenRequest, response: ServerResponse): void {
        this.open.set(request, response);
        response.once("close", () => this.remove(request));
    }

    /** Runs a function as soon as no request is in progress. */
    whenEmpty(handler: () => void): void {
        if (this.open.size === 0) {
            handler();
            return;
        }
        this.emptyHandler = handler;
    }

    /** Cuts off what is still in progress. Returns how many requests that were. */
    cutAll(): number {
        const cut = [...this.open];
        for (const [request, response] of cut) {
            request.cut();
            if (!response.writableEnded) {
                response.destroy();
            }
        }
        return cut.length;
    }

    private remove(request: OpenRequest): void {
        this.open.delete(request);
        request.answered();
        if (this.open.size === 0) {
            this.emptyHandler?.();
            this.emptyHandler = undefined;
        }
    }
}
