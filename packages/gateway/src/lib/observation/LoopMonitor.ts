import { type Clock, type Timer } from "@waxwingspar/utils";
import { LoopDelay } from "./LoopDelay.js";
import { type GatewayMetrics } from "./Observation.js";

/** Options of {@link LoopMonitor}. */
export interface LoopMonitorOptions {
    readonly clock: Clock;
    readonly metrics: Pick<GatewayMetrics, "loopDelay">;
}

/** Milliseconds between two ticks. A process that stands still for less delays no caller noticeably. */
const tickInterval = 100;

/** Measures for how long the event loop is blocked, and reports it. */
export class LoopMonitor {
    private readonly delay: LoopDelay;
    private timer: Timer | undefined;
    private due = Infinity;
    private lastTickAt = 0;
    private lastDelay = 0;

    constructor(private readonly options: LoopMonitorOptions) {
        this.delay = new LoopDelay(options.clock);
    }

    start(): void {
        this.due = this.options.clock.now() + tickInterval;
        this.timer = this.options.clock.schedule(() => this.tick(), tickInterval);
    }

    stop(): void {
        this.timer?.cancel();
    }

    /** Longest time in the last second, in milliseconds, for which the event loop was blocked. */
    get longestDelay(): number {
        return this.delay.recent;
    }

    /**
     * Maximum milliseconds for which input that is read now has waited in the operating system, as far as the ticks show:
     * it may have arrived at any time while the loop was blocked.
     */
    get inputAge(): number {
        const now = this.options.clock.now();
        return Math.max(0, now - this.due, now - this.lastTickAt < this.lastDelay ? this.lastDelay : 0);
    }

    private tick(): void {
        this.lastDelay = this.delay.record(this.due);
        this.lastTickAt = this.options.clock.now();
        this.options.metrics.loopDelay.record(this.lastDelay, {});
        this.start();
    }
}
