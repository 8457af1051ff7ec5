import { type Clock, type Timer } from "@waxwingspar/utils";

/** @internal */
export interface DrainOptions {
    readonly clock: Clock;
    /** Returns the number of requests that would be interrupted if the agent closed now. */
    readonly active: () => number;
    /** Asks running attempts to end, so that their requests continue on other chains. */
    readonly handOver: () => void;
    /** Returns true while other agents may still fetch KV caches of ended attempts. */
    readonly exporting: () => boolean;
    /** Minimum milliseconds for which the agent stays up, to refuse requests in flight at its announcement. */
    readonly linger: number;
    /** Milliseconds after which running requests are handed over. */
    readonly handOverAfter: number;
    /** Milliseconds after which the remaining requests are interrupted. */
    readonly limit: number;
}

/** Milliseconds between two checks for requests that still run. */
const pollInterval = 20;

/**
 * Waits until no request runs any more, and hands over requests that run for too long.
 *
 * @internal
 */
export class Drain {
    private handedOver = false;
    private timer: Timer | undefined;

    constructor(private readonly options: DrainOptions) {}

    /**
     * Waits until all requests have ended or the limit has passed.
     *
     * @returns The number of requests that still ran when the limit passed; 0 otherwise.
     */
    wait(): Promise<number> {
        const startedAt = this.options.clock.now();
        return new Promise(resolve => this.poll(startedAt, resolve));
    }

    stop(): void {
        this.timer?.cancel();
    }

    private poll(startedAt: number, resolve: (interrupted: number) => void): void {
        const { clock, active, exporting, linger, limit, handOver, handOverAfter } = this.options;
        const passed = clock.now() - startedAt;
        const remaining = active();
        if ((remaining === 0 && !exporting() && passed >= linger) || passed >= limit) {
            resolve(remaining);
            return;
        }
        if (passed >= handOverAfter && !this.handedOver) {
            this.handedOver = true;
            handOver();
        }
        this.timer = clock.schedule(() => this.poll(startedAt, resolve), pollInterval);
    }
}
