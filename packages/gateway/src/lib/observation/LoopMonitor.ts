import { type Clock, type Timer } from "@waxwingspar/utils";
import { LoopDelay } from "./LoopDelay.js";
import { LoopUtilization, type ReadLoopTimes } from "./LoopUtilization.js";
import { type GatewayMetrics } from "./Observation.js";

/** Options of {@link LoopMonitor}. */
export interface LoopMonitorOptions {
    readonly clock: Clock;
    readonly metrics: Pick<GatewayMetrics, "loopDelay" | "loopUtilization">;
    readonly readLoopTimes?: ReadLoopTimes;
    /** Called ten times a second, with the newest measurements. */
    readonly onTick?: () => void;
}

/** Milliseconds between two ticks. A process that stands still for less delays no caller noticeably. */
const tickInterval = 100;

/** Measures for how long the event loop is blocked and how much of its time it works, and reports both. */
export class LoopMonitor {
    private readonly delay: LoopDelay;
    private readonly use: LoopUtilization;
    private timer: Timer | undefined;
    private due = Infinity;
    private lastTickAt = 0;
    private lastDelay = 0;

    constructor(private readonly options: LoopMonitorOptions) {
        this.delay = new LoopDelay(options.clock);
        this.use = new LoopUtilization(options.readLoopTimes);
        options.metrics.loopUtilization.observe(() => this.utilization);
    }

    start(): void {
        this.due = this.options.clock.now() + tickInterval;
        this.timer = this.options.clock.schedule(() => this.tick(), tickInterval);
    }

    stop(): void {
        this.timer?.cancel();
    }

    /** The share of recent time in which the event loop had work, from 0 to 1: see {@link LoopUtilization}. */
    get utilization(): number {
        return this.use.value;
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
        this.use.sample();
        this.options.onTick?.();
        this.start();
    }
}
