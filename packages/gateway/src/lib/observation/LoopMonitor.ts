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

    constructor(private readonly options: LoopMonitorOptions) {
        this.delay = new LoopDelay(options.clock);
    }

    start(): void {
        const due = this.options.clock.now() + tickInterval;
        this.timer = this.options.clock.schedule(() => this.tick(due), tickInterval);
    }

    stop(): void {
        this.timer?.cancel();
    }

    /** Longest time in the last second, in milliseconds, for which the event loop was blocked. */
    get longestDelay(): number {
        return this.delay.recent;
    }

    private tick(due: number): void {
        this.options.metrics.loopDelay.record(this.delay.record(due), {});
        this.start();
    }
}
