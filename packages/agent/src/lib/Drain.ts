import { type Clock, type Timer } from "@waxwingspar/utils";

/** @internal */
export interface DrainOptions {
    readonly clock: Clock;
    /** Requests that would be cut off if the agent closed now. */
    readonly active: () => number;
    /** Asks what runs to go on elsewhere. */
    readonly handOver: () => void;
    /** True while KV caches of ended attempts may still be fetched. */
    readonly exporting: () => boolean;
    /** Milliseconds for which the agent stays at least, to refuse what was on its way when it announced its leaving. */
    readonly linger: number;
    readonly handOverAfter: number;
    /** Milliseconds after which the rest is cut off. */
    readonly limit: number;
}

/** Milliseconds between two looks at what still runs. */
const pollInterval = 20;

/**
 * Waits until nothing runs any more; after a while it hands over what does.
 *
 * @internal
 */
export class Drain {
    private handedOver = false;
    private timer: Timer | undefined;

    constructor(private readonly options: DrainOptions) {}

    /**
     * Waits for the end.
     *
     * @returns How many requests still ran when the hard limit passed; 0 otherwise.
     */
    wait(): Promise<number> {
        const startedAt = this.options.clock.now();
        return new Promise(resolve => this.look(startedAt, resolve));
    }

    stop(): void {
        this.timer?.cancel();
    }

    private look(startedAt: number, resolve: (interrupted: number) => void): void {
        const { clock, active, exporting, linger, limit, handOver, handOverAfter } = this.options;
        const passed = clock.now() - startedAt;
        const left = active();
        if ((left === 0 && !exporting() && passed >= linger) || passed >= limit) {
            resolve(left);
            return;
        }
        if (passed >= handOverAfter && !this.handedOver) {
            this.handedOver = true;
            handOver();
        }
        this.timer = clock.schedule(() => this.look(startedAt, resolve), pollInterval);
    }
}
