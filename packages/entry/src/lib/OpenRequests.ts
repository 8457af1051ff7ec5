import { type Span } from "@opentelemetry/api";
import { type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { type Exchange } from "./http/Exchange.js";

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

    /** Sets the function that ends the run of the request when the process must stop. */
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

    /** Ends the run of the request, if it has begun. */
    abort(): void {
        this.abortHandler?.();
    }
}

/**
 * The requests in progress, each from the arrival of its headers to the last byte of its response.
 *
 * @internal
 */
export class OpenRequests {
    private readonly open = new Map<OpenRequest, Exchange>();

    get count(): number {
        return this.open.size;
    }

    add(request: OpenRequest, exchange: Exchange): void {
        this.open.set(request, exchange);
        // Later, so that the handlers of its run can cancel it before.
        exchange.onDisconnect(() => queueMicrotask(() => this.remove(request)));
        exchange.response.once("close", () => this.remove(request));
    }

    /** Ends the runs of all requests in progress, and refuses those whose runs have not begun. @returns Their number. */
    abortAll(): number {
        const aborted = [...this.open];
        for (const [request, exchange] of aborted) {
            request.abort();
            if (!exchange.isOver) {
                exchange.refuse(stoppingFailure());
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

/** Why a request is refused that has not run when the process stops. @internal */
export function stoppingFailure(): Failure {
    return failure(requestCodes.stopping, "this entry is stopping");
}

/** Why the run of a request ends when the process stops. @internal */
export function stoppedFailure(mayHaveRun: boolean): Failure {
    return mayHaveRun
        ? failure(requestCodes.outcomeUnknown, "the process stopped before the answer was complete")
        : stoppingFailure();
}
