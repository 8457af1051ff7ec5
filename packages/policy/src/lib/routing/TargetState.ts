import { type LoadReport } from "@waxwingspar/transport";
import { type TargetHealth } from "../health/TargetHealth.js";
import { LearnedFactor } from "./LearnedFactor.js";
import { type RoutingTarget } from "./Router.js";

/** Half-life of a learned factor without observations, in milliseconds. */
const factorHalfLife = 10_000;
/** Half-life of the effect of a refusal, in milliseconds. */
const refusalHalfLife = 300;
/** Milliseconds in a minute. */
const minute = 60_000;

/**
 * The router's state of one target.
 *
 * @internal
 */
export class TargetState {
    /** Number of this entry's attempts in progress that use the target. */
    inFlight = 0;
    /** Prefill blocks of this entry's attempts that have not produced their first token. */
    pendingBlocks = 0;
    /** True while the live list marks the target as leaving. */
    listedAsLeaving = false;
    /**
     * True once the target itself reported that it is leaving. The loss of its connection, as on a restart, resets it;
     * the delayed live list does not.
     */
    reportedAsLeaving = false;
    /** Incremented when the target's cache is cleared, which invalidates the blocks recorded before. */
    cacheGeneration = 0;
    /** Number of gaps in the cache events; in each, recorded blocks may have been evicted without notice. */
    cacheGaps = 0;
    /** The share of the target's cache blocks evicted per millisecond, as last reported. */
    evictionRate = 0;
    /** Time between tokens relative to the accelerator's nominal speed. */
    readonly intervalFactor = new LearnedFactor(factorHalfLife);
    /** Time to first token relative to the accelerator's nominal speed. */
    readonly prefillFactor = new LearnedFactor(factorHalfLife);
    private otherLoadPerSlot: number | undefined;
    private reportedAt = 0;
    private reportedFirstToken = 0;
    private refusedAt = -Infinity;
    private restEnd = -Infinity;
    private reportedGeneration: number | undefined;

    constructor(public target: RoutingTarget, readonly hash: number, readonly health: TargetHealth) {}

    get name(): string {
        return this.target.name;
    }

    get isLeaving(): boolean {
        return this.listedAsLeaving || this.reportedAsLeaving;
    }

    /** Averaged reported load per slot that does not come from this entry; undefined before the first report. */
    get reportedOtherLoad(): number | undefined {
        return this.otherLoadPerSlot;
    }

    /**
     * Processes a load report. The load is averaged, since short-term changes are over by the time a report arrives,
     * and a fleet that reacts to them oscillates.
     *
     * @param memory - Time constant of the average over reports, in milliseconds.
     */
    report(load: LoadReport, now: number, memory: number): void {
        const others = Math.max(0, load.running + load.queued - this.inFlight) / Math.max(1, load.slots);
        const before = this.otherLoadPerSlot ?? others;
        this.otherLoadPerSlot = before + (others - before) * (1 - Math.exp(-(now - this.reportedAt) / memory));
        this.reportedFirstToken = load.firstTokenEstimate;
        this.reportedAt = now;
        this.reportCache(load);
    }

    private reportCache({ cacheGeneration, cacheEvicted }: LoadReport): void {
        if (cacheEvicted !== undefined) {
            this.evictionRate = cacheEvicted / minute;
        }
        if (cacheGeneration === undefined || cacheGeneration === this.reportedGeneration) {
            return;
        }
        // Reports of one agent arrive in order, so a different number is a newer one even if it is lower.
        if (this.reportedGeneration !== undefined) {
            this.cacheGeneration++;
        }
        this.reportedGeneration = cacheGeneration;
    }

    /** @param rest - Milliseconds for which the target wants no requests from this entry. */
    refused(now: number, rest = 0): void {
        this.refusedAt = now;
        this.restEnd = Math.max(this.restEnd, now + rest);
    }

    /** Milliseconds until the rest that the target asked for ends; 0 if it has none. */
    restLeft(now: number): number {
        return Math.max(0, this.restEnd - now);
    }

    /** Forgets the rest, because the target may have restarted. */
    endRest(): void {
        this.restEnd = -Infinity;
    }

    /** True while the target is healthy and not leaving, so that it accepts new work. */
    isUsable(): boolean {
        return !this.isLeaving && this.health.isUsable();
    }

    /**
     * Returns the expected load per usable slot with one more request. This entry's attempts are counted exactly. The
     * load from other entries is taken from the reports and decays to the peers' mean with age, so that an outdated
     * report of an idle target does not attract a burst of requests from all entries.
     *
     * @param meanOtherLoad - The peers' mean of {@link TargetState.reportedOtherLoad}.
     * @param trust - Weight of a fresh report's difference from that mean, from 0 to 1.
     */
    load(now: number, meanOtherLoad: number, reportHalfLife: number, trust: number): number {
        const reportWeight = trust * 2 ** -((now - this.reportedAt) / reportHalfLife);
        const others = meanOtherLoad + ((this.otherLoadPerSlot ?? meanOtherLoad) - meanOtherLoad) * reportWeight;
        return ((this.inFlight + 1) / this.target.slots + others) / this.health.ramp();
    }

    /** Decays from 1 just after a refusal to 0. */
    refusalWeight(now: number): number {
        return 2 ** -((now - this.refusedAt) / refusalHalfLife);
    }

    /** Returns the target's last reported estimate of the time to first token, or 0 when it is older than `maxAge`. */
    recentFirstTokenEstimate(now: number, maxAge: number): number {
        return now - this.reportedAt <= maxAge && this.otherLoadPerSlot !== undefined ? this.reportedFirstToken : 0;
    }
}
