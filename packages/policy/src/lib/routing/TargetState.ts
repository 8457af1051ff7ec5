import { type LoadReport } from "@waxwingspar/transport";
import { type TargetHealth } from "../health/TargetHealth.js";
import { LearnedFactor } from "./LearnedFactor.js";
import { type RoutingTarget } from "./Router.js";

/** Milliseconds in which half of a learned factor is forgotten while nothing is observed. */
const factorHalfLife = 10_000;
/** Milliseconds in which half the effect of a refusal is forgotten. */
const refusalHalfLife = 300;
const minute = 60_000;

/**
 * What the router keeps of one target.
 *
 * @internal
 */
export class TargetState {
    /** Own attempts in progress that use the target. */
    inFlight = 0;
    /** Cache blocks of own attempts whose first token is still to come. */
    pendingBlocks = 0;
    /** The live list says that the target leaves. */
    listedAsLeaving = false;
    /** The target itself says so, which the late list cannot take back; only another start of it can. */
    saysLeaving = false;
    /** Grows when the target's cache is cleared; remembered blocks of an older generation are worthless. */
    cacheGeneration = 0;
    /** How many times cache events were lost; each time some remembered blocks may have been evicted unseen. */
    cacheGaps = 0;
    /** The share of the target's blocks that are evicted in a millisecond, as the target last reported it. */
    evictionRate = 0;
    /** Time between tokens against the accelerator's promise. */
    readonly intervalFactor = new LearnedFactor(factorHalfLife);
    /** Time to the first token against the accelerator's promise. */
    readonly prefillFactor = new LearnedFactor(factorHalfLife);
    private othersPerSlot: number | undefined;
    private reportedAt = 0;
    private reportedFirstToken = 0;
    private refusedAt = -Infinity;
    private reportedGeneration: number | undefined;

    constructor(public target: RoutingTarget, readonly hash: number, readonly health: TargetHealth) {}

    get name(): string {
        return this.target.name;
    }

    get isLeaving(): boolean {
        return this.listedAsLeaving || this.saysLeaving;
    }

    /** The part of the last reported load that is not this entry's, for each slot; undefined before any report. */
    get reportedOthers(): number | undefined {
        return this.othersPerSlot;
    }

    /**
     * Takes in a report. Only the slow part of a load is worth following: by the time a report is here the quick part is
     * gone, and a fleet that chases it swings.
     *
     * @param memory - The time constant of the average over reports, in milliseconds.
     */
    report(load: LoadReport, now: number, memory: number): void {
        const others = Math.max(0, load.running + load.queued - this.inFlight) / Math.max(1, load.slots);
        const before = this.othersPerSlot ?? others;
        this.othersPerSlot = before + (others - before) * (1 - Math.exp(-(now - this.reportedAt) / memory));
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
        // Reports of one agent arrive in their order, so a number that differs is a newer one, also if it is lower.
        if (this.reportedGeneration !== undefined) {
            this.cacheGeneration++;
        }
        this.reportedGeneration = cacheGeneration;
    }

    refused(now: number): void {
        this.refusedAt = now;
    }

    /** True while the target takes new work as far as is known. */
    isUsable(): boolean {
        return !this.isLeaving && this.health.isUsable();
    }

    /**
     * The load of each slot that the target may fill if it gets one more request. Own attempts count exactly; those of
     * other entries come from the last report and fade into the peers' mean, so that a late report draws no herd.
     *
     * @param usualOthers - The peers' mean of {@link TargetState.reportedOthers}.
     * @param trust - How much of a report's difference from that mean counts when it is fresh, from 0 to 1.
     */
    load(now: number, usualOthers: number, reportHalfLife: number, trust: number): number {
        const kept = trust * 2 ** -((now - this.reportedAt) / reportHalfLife);
        const others = usualOthers + ((this.othersPerSlot ?? usualOthers) - usualOthers) * kept;
        return ((this.inFlight + 1) / this.target.slots + others) / this.health.ramp();
    }

    /** From 1 just after a refusal down to 0. */
    refusalWeight(now: number): number {
        return 2 ** -((now - this.refusedAt) / refusalHalfLife);
    }

    /** The first-token time that the target predicted, or 0 when that was too long ago to count. */
    recentFirstTokenEstimate(now: number, maxAge: number): number {
        return now - this.reportedAt <= maxAge && this.othersPerSlot !== undefined ? this.reportedFirstToken : 0;
    }
}
