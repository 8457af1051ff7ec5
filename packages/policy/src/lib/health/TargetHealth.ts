import { type Clock, type Random, StateChart } from "@waxwingspar/utils";
import { type HealthEvent, type HealthState, targetHealthChart } from "./targetHealthChart.js";

/**
 * Options for ejecting and readmitting targets. The parameter sweeps behind the defaults are in docs/design/routing.md.
 *
 * @public
 */
export interface HealthOptions {
    /** Consecutive failures after which a target is ejected. Default 3. */
    readonly consecutiveFailures: number;
    /** Milliseconds until the first probe of an unreachable target. Doubles with each failed probe. Default 1000. */
    readonly reconnectDelay: number;
    /** Milliseconds until the first probe of a slow or failing target. Doubles with each failed probe. Default 5000. */
    readonly ejectionTime: number;
    /** Upper limit of the time between probes, in milliseconds. Default 30000. */
    readonly maxEjectionTime: number;
    /** Milliseconds over which the load share of a new or readmitted target ramps up. Default 3000. */
    readonly slowStart: number;
    /** The share of its slots that a target may fill at the start of the ramp. Default 0.2. */
    readonly slowStartFloor: number;
}

/** @internal */
export const defaultHealthOptions: HealthOptions = {
    consecutiveFailures: 3,
    reconnectDelay: 1000,
    ejectionTime: 5000,
    maxEjectionTime: 30_000,
    slowStart: 3000,
    slowStartFloor: 0.2,
};

/** Jitter of the probe delay, as a share of it, so that entries do not probe a target at the same moment. */
const probeSpread = 0.3;

/**
 * Tracks whether a target may be used and how much of its capacity: ejection, probes and slow start.
 *
 * @internal
 */
export class TargetHealth {
    private readonly chart = new StateChart<HealthState, HealthEvent>(targetHealthChart);
    private failures = 0;
    /** Ejections since the target last completed its slow start. */
    private ejections = 0;
    private nextProbe = 0;
    private rampStart: number;
    /** True while a probe is in flight. */
    private probing = false;

    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly options: HealthOptions,
    ) {
        this.rampStart = clock.now();
    }

    get state(): HealthState {
        return this.chart.state;
    }

    /** Clock time in milliseconds of the next probe. */
    get probeTime(): number {
        return this.nextProbe;
    }

    /** True while regular requests may use the target. */
    isUsable(): boolean {
        const state = this.chart.state;
        return state === "healthy" || state === "joining";
    }

    /** True when a request should be sent as a probe. Enters the probing state once the probe delay has elapsed. */
    isProbeDue(): boolean {
        const state = this.chart.state;
        if ((state === "ejected" || state === "unreachable") && this.clock.now() >= this.nextProbe) {
            this.chart.send("elapsed");
            this.probing = false;
        }
        return this.chart.state === "probing" && !this.probing;
    }

    /** The share of its slots that the target may fill, from `slowStartFloor` to 1. */
    ramp(): number {
        if (this.chart.state === "healthy") {
            return 1;
        }
        const { slowStart, slowStartFloor } = this.options;
        const progress = slowStart > 0 ? (this.clock.now() - this.rampStart) / slowStart : 1;
        if (progress >= 1 && this.chart.send("ramped")) {
            this.ejections = 0;
            return 1;
        }
        return Math.min(1, Math.max(slowStartFloor, progress));
    }

    /** Records that a request was sent as a probe. */
    probeSent(): void {
        this.probing = true;
    }

    /** Records that the probe ended without a result; another may be sent. */
    probeWithdrawn(): void {
        this.probing = false;
    }

    succeeded(): void {
        this.failures = 0;
    }

    /** Records that the probe performed like a healthy peer. */
    passed(): void {
        this.failures = 0;
        this.startRamp("passed");
    }

    /** Ends an ejection early because the cap on ejected targets no longer allows it. */
    released(): void {
        this.startRamp("released");
    }

    /**
     * Records a request that failed because of the target.
     *
     * @param weight - Less than 1 when other targets may be at fault as well.
     * @param mayEject - True when the cap on ejected targets allows one more.
     */
    failed(weight: number, mayEject: boolean): void {
        this.failures += weight;
        const isProbe = this.chart.state === "probing";
        if (isProbe || (this.failures >= this.options.consecutiveFailures && mayEject)) {
            this.eject();
        }
    }

    /** Ejects the target because it is failing or slow. */
    eject(): void {
        if (this.chart.send("fault")) {
            this.scheduleProbe(this.options.ejectionTime);
        }
    }

    /** Records that the connection to the target could not be opened or was lost. */
    lost(): void {
        if (this.chart.send("lost")) {
            this.scheduleProbe(this.options.reconnectDelay);
        }
    }

    private startRamp(event: HealthEvent): void {
        if (this.chart.send(event)) {
            this.rampStart = this.clock.now();
        }
    }

    private scheduleProbe(firstDelay: number): void {
        const delay = Math.min(this.options.maxEjectionTime, firstDelay * 2 ** this.ejections);
        this.ejections++;
        this.failures = 0;
        this.nextProbe = this.clock.now() + delay * (1 + this.random.next() * probeSpread);
    }
}
