import { type Clock, type Random, StateChart } from "@waxwingspar/utils";
import { type HealthEvent, type HealthState, targetHealthChart } from "./targetHealthChart.js";

/**
 * Options of ejection and return. docs/design/routing.md has the sweeps behind the defaults.
 *
 * @public
 */
export interface HealthOptions {
    /** Failures in a row that eject a target. Default 3. */
    readonly consecutiveFailures: number;
    /** Milliseconds until the first probe of a target that cannot be reached. Doubles with each failed probe. Default 1000. */
    readonly reconnectDelay: number;
    /** Milliseconds until the first probe of a target ejected as slow or failing. Doubles as well. Default 5000. */
    readonly ejectionTime: number;
    /** The longest time between two probes, in milliseconds. Default 30000. */
    readonly maxEjectionTime: number;
    /** Milliseconds over which a target that joins or returns comes up to its full share. Default 3000. */
    readonly slowStart: number;
    /** The share of its slots that a target may fill as it joins. Default 0.2. */
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

/** Probe times are spread by up to this share, so that many entries do not probe a target at the same moment. */
const probeSpread = 0.3;

/**
 * Whether one target may be used, and how much of it: ejection, probes and slow start.
 *
 * @internal
 */
export class TargetHealth {
    private readonly chart = new StateChart<HealthState, HealthEvent>(targetHealthChart);
    private failures = 0;
    /** Ejections since the target last came up to its full share. */
    private ejections = 0;
    private nextProbe = 0;
    private rampStart: number;
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

    /** When the next probe may go, on the clock. */
    get probeTime(): number {
        return this.nextProbe;
    }

    /** True while ordinary requests may use the target. */
    isUsable(): boolean {
        const state = this.chart.state;
        return state === "healthy" || state === "joining";
    }

    /** True when one request should go to the target to find out how it is. */
    wantsProbe(): boolean {
        const state = this.chart.state;
        if ((state === "ejected" || state === "unreachable") && this.clock.now() >= this.nextProbe) {
            this.chart.send("elapsed");
            this.probing = false;
        }
        return this.chart.state === "probing" && !this.probing;
    }

    /** The share of its slots that the target may fill, from the floor of slow start to 1. */
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

    /** A request was sent as a probe. */
    probeSent(): void {
        this.probing = true;
    }

    /** The probe ended without a verdict; another may go. */
    probeWithdrawn(): void {
        this.probing = false;
    }

    succeeded(): void {
        this.failures = 0;
    }

    /** The probe went as with any healthy peer. */
    passed(): void {
        this.failures = 0;
        this.startRamp("passed");
    }

    /** Ends an ejection early, because the cap on ejected targets no longer allows it. */
    released(): void {
        this.startRamp("released");
    }

    /**
     * A request failed through the target's fault.
     *
     * @param weight - Less than 1 when others may be at fault as well.
     * @param mayEject - Whether the cap on ejected targets allows one more.
     */
    failed(weight: number, mayEject: boolean): void {
        this.failures += weight;
        const isProbe = this.chart.state === "probing";
        if (isProbe || (this.failures >= this.options.consecutiveFailures && mayEject)) {
            this.eject();
        }
    }

    /** Takes the target out of use, since it fails or is slow. */
    eject(): void {
        if (this.chart.send("fault")) {
            this.scheduleProbe(this.options.ejectionTime);
        }
    }

    /** The connection could not be opened or was lost. */
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
