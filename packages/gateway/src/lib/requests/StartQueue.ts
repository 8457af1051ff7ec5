import { type Clock, type Timer } from "@waxwingspar/utils";
import { type ReceivedRequest } from "../server/CallerServer.js";

/** Options of {@link StartQueue}. */
export interface StartQueueOptions {
    readonly clock: Clock;
    /** Whether this process has the state that it needs to authenticate and serve requests. */
    readonly isReady: () => boolean;
    /** Handles a request, whether or not the process is ready. */
    readonly onRequest: (request: ReceivedRequest) => void;
}

/**
 * Maximum milliseconds that a request waits for a process that has just started. Two reads of the store take about
 * 10 ms, or 240 ms if it is slow. Callers whose connection was cut retry only once, so a refusal would be final.
 */
const maxWaitTime = 300;
/** Maximum number of waiting requests, to bound memory: several times the arrivals in that time. */
const maxWaiting = 400;

interface Waiting {
    readonly request: ReceivedRequest;
    readonly timer: Timer;
}

/**
 * Queues requests that arrive while the process is starting. This absorbs the callers that all retry at the same time
 * after all processes were killed.
 */
export class StartQueue {
    private readonly waiting = new Set<Waiting>();
    /** Whether the process has been ready once. A store that is lost later leaves nothing to wait for. */
    private hasStarted = false;

    constructor(private readonly options: StartQueueOptions) {}

    /** Forwards a request once the process is ready, and after {@link maxWaitTime} at the latest. */
    take(request: ReceivedRequest): void {
        const { clock, isReady, onRequest } = this.options;
        this.hasStarted ||= isReady();
        if (this.hasStarted || this.waiting.size >= maxWaiting) {
            onRequest(request);
            return;
        }
        const waiting = { request, timer: clock.schedule(() => this.forward(waiting), maxWaitTime) };
        this.waiting.add(waiting);
    }

    /** Forwards all waiting requests if the process is ready. */
    release(): void {
        this.hasStarted ||= this.options.isReady();
        if (this.hasStarted) {
            this.waiting.forEach(waiting => this.forward(waiting));
        }
    }

    /** Removes the requests that wait. */
    takeWaiting(): ReceivedRequest[] {
        const taken = [...this.waiting];
        this.waiting.clear();
        taken.forEach(({ timer }) => timer.cancel());
        return taken.map(({ request }) => request);
    }

    private forward(waiting: Waiting): void {
        waiting.timer.cancel();
        this.waiting.delete(waiting);
        if (!waiting.request.presence.hasLeft) {
            this.options.onRequest(waiting.request);
        }
    }
}
