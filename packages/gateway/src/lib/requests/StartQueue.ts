import { type Clock, type Timer } from "@waxwingspar/utils";
import { type ReceivedRequest } from "../server/CallerServer.js";

/** Options of {@link StartQueue}. */
export interface StartQueueOptions {
    readonly clock: Clock;
    /** Whether this process knows what it needs to judge and serve requests. */
    readonly isReady: () => boolean;
    /** Judges a request, whether or not the process is ready. */
    readonly onRequest: (request: ReceivedRequest) => void;
}

/**
 * Milliseconds that a request may wait for a process that has just started. Two reads of the store take some 10 ms, 240 from a
 * slow one; callers that were cut off come back once only, and a refusal would be their end.
 */
const patience = 300;
/** Requests that may wait at once, so that memory stays bounded: several times what comes in that time. */
const mostWaiting = 400;

interface Waiting {
    readonly request: ReceivedRequest;
    readonly timer: Timer;
}

/**
 * Holds requests that come in the first moments of a process. It answers the load of callers that come back all at once after
 * all processes were killed: of 2,079 requests of a played day some 20 reached a process in its first 100 ms.
 */
export class StartQueue {
    private readonly waiting = new Set<Waiting>();

    constructor(private readonly options: StartQueueOptions) {}

    /** Passes a request on, at once or when the process is ready, after {@link patience} at the latest. */
    take(request: ReceivedRequest): void {
        const { clock, isReady, onRequest } = this.options;
        if (isReady() || this.waiting.size >= mostWaiting) {
            onRequest(request);
            return;
        }
        const waiting = { request, timer: clock.schedule(() => this.pass(waiting), patience) };
        this.waiting.add(waiting);
    }

    /** Passes on all that wait, if the process is ready by now. */
    release(): void {
        if (this.options.isReady()) {
            this.waiting.forEach(waiting => this.pass(waiting));
        }
    }

    private pass(waiting: Waiting): void {
        waiting.timer.cancel();
        this.waiting.delete(waiting);
        if (!waiting.request.response.destroyed) {
            this.options.onRequest(waiting.request);
        }
    }
}
