import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { type CrashSet, joinCrashSets, noCrashes, sizeOfCrashSet } from "./CrashSet.js";

/** Maximum number of tracked parts, of which those used last are kept. */
const maxRemembered = 2_000;
/** Milliseconds without a further crash or run after which a part is forgotten. */
const retentionTime = 600_000;
/**
 * Milliseconds after a run with a part for which crashes that other gateways report are ignored: they may not have heard
 * of it.
 */
const clearanceDelay = 1_000;
/** Milliseconds for which a run with a part is reported, to be received by all gateways despite lost messages. */
const reportTime = 5_000;
/** Number of recent runs over which the share of a part is estimated. */
const shareWindow = 200;
/** Crashes of a series are counted once within these milliseconds: targets that share a host or rack fail together. */
const seriesSpacing = 100;

/**
 * What is known of the parts of prompts: the targets that crashed while running prompts with a part, since the last run
 * of one without a crash. Such a run clears the part at all gateways.
 */
export class PartCrashes {
    /** Crashed targets seen by this process. */
    private readonly seen: LRUCache<string, CrashSet>;
    /** Crashed targets reported by other gateways. */
    private readonly told: LRUCache<string, CrashSet>;
    /** Time of the last crash seen here. */
    private readonly crashedAt: LRUCache<string, number>;
    /** Time of the last known run without a crash. */
    private readonly ranAt: LRUCache<string, number>;
    /** Parts of prompts that had no reply when their target crashed, as most that cause a crash. */
    private readonly silent: LRUCache<string, true>;
    /** Parts of which crashes are known here or at other gateways, which may need to hear of a run. */
    private readonly contested: LRUCache<string, true>;
    /** Crashes seen here in a row, also those that may have hit the part by chance. */
    private readonly series: LRUCache<string, { readonly crashes: number; readonly lastAt: number; }>;
    /** Number of runs without a crash here. */
    private runs = 0;
    /** Runs with a part, weighted by how recent they were at a number of runs. */
    private readonly runsWith: LRUCache<string, { readonly weight: number; readonly at: number; }>;
    private highest: number | undefined;

    constructor(private readonly clock: Clock) {
        const options = {
            max: maxRemembered,
            ttl: retentionTime,
            ttlResolution: 0,
            perf: { now: () => clock.now() },
        };
        this.seen = new LRUCache(options);
        this.told = new LRUCache(options);
        this.crashedAt = new LRUCache(options);
        this.ranAt = new LRUCache(options);
        this.silent = new LRUCache(options);
        this.contested = new LRUCache(options);
        this.series = new LRUCache(options);
        this.runsWith = new LRUCache(options);
    }

    /** Records that targets crashed while running prompts with the part for this process, perhaps before any reply. */
    add(part: string, targets: CrashSet, isSilent = false): void {
        if (isSilent) {
            this.silent.set(part, true);
        }
        this.seen.set(part, joinCrashSets(this.seen.get(part) ?? noCrashes, targets));
        this.crashedAt.set(part, this.clock.now());
        this.contested.set(part, true);
        this.highest = undefined;
    }

    /** Records that a target crashed while running prompts with the part, which may be by chance. */
    addToSeries(part: string): void {
        const now = this.clock.now();
        const { crashes = 0, lastAt = -Infinity } = this.series.get(part) ?? {};
        if (now - lastAt >= seriesSpacing) {
            this.series.set(part, { crashes: crashes + 1, lastAt: now });
        }
    }

    /** Records that a request with these parts ran without a crash here. */
    recordRun(parts: readonly string[]): void {
        this.runs++;
        for (const part of parts) {
            this.runsWith.set(part, { weight: this.recentRunsWith(part) + 1, at: this.runs });
            this.clear(part, this.clock.now());
        }
    }

    /** Records the milliseconds since other gateways knew parts to run without a crash. */
    recordPeerRuns(ages: Readonly<Record<string, number>>): void {
        Object.entries(ages).forEach(([part, age]) => this.clear(part, this.clock.now() - age));
    }

    /** Records the targets that crashed at other gateways. A heartbeat holds few parts, so one may be missing. */
    recordPeerCrashes(crashes: Readonly<Record<string, CrashSet>>): void {
        for (const [part, targets] of Object.entries(crashes)) {
            this.contested.set(part, true);
            if (this.clock.now() - (this.ranAt.get(part) ?? -Infinity) >= clearanceDelay) {
                this.told.set(part, joinCrashSets(this.told.get(part) ?? noCrashes, targets));
                this.highest = undefined;
            }
        }
    }

    /** Whether no crash is known, neither seen here nor reported by other gateways. */
    get isEmpty(): boolean {
        return this.seen.size === 0 && this.told.size === 0;
    }

    /** The targets that crashed at any gateway since the last known run without a crash. */
    targetsOf(part: string): CrashSet {
        return joinCrashSets(this.seen.get(part) ?? noCrashes, this.told.get(part) ?? noCrashes);
    }

    /** The targets that crashed here since then. */
    seenTargetsOf(part: string): CrashSet {
        return this.seen.get(part) ?? noCrashes;
    }

    /** Number of crashes in a row seen here since then, also those that may have hit the part by chance. */
    seriesOf(part: string): number {
        return this.series.get(part)?.crashes ?? 0;
    }

    /** When a request with the part was last known to run without a crash; undefined if none is known. */
    lastRunAt(part: string): number | undefined {
        return this.ranAt.get(part);
    }

    /** The share of recent runs of this process that had the part, from 0 to 1. */
    shareOf(part: string): number {
        return this.runs === 0 ? 0 : Math.min(1, this.recentRunsWith(part) / Math.min(this.runs, shareWindow));
    }

    /** The number of crashes of the part with the most. */
    get highestCount(): number {
        this.highest ??= Math.max(
            0,
            ...[...this.seen.keys(), ...this.told.keys()].map(part => sizeOfCrashSet(this.targetsOf(part))),
        );
        return this.highest;
    }

    /**
     * Returns the crashed targets seen here, to be reported to other gateways. Parts with the most crashes come first,
     * for equal numbers those whose prompts had no reply, since a heartbeat holds few of the many that a crash affects.
     */
    listSeen(): Record<string, CrashSet> {
        const ranked = [...this.seen.entries()].map(([part, targets]) => ({
            part,
            targets,
            crashes: sizeOfCrashSet(this.targetsOf(part)),
            isSilent: this.silent.has(part),
        }));
        ranked.sort((a, b) => b.crashes - a.crashes || Number(b.isSilent) - Number(a.isSilent));
        return Object.fromEntries(ranked.map(({ part, targets }) => [part, targets]));
    }

    /** Returns the milliseconds since contested parts last ran without a crash, the most recent ones first. */
    listRuns(): Record<string, number> {
        const now = this.clock.now();
        const ages = [...this.contested.keys()].flatMap(part => {
            const age = now - (this.ranAt.get(part) ?? -Infinity);
            return age <= reportTime ? [[part, Math.round(age)] as const] : [];
        });
        return Object.fromEntries(ages.sort(([, a], [, b]) => a - b));
    }

    /** Crashes after the run still count. */
    private clear(part: string, ranAt: number): void {
        if (ranAt <= (this.ranAt.get(part) ?? -Infinity)) {
            return;
        }
        this.ranAt.set(part, ranAt);
        this.silent.delete(part);
        if (this.told.delete(part)) {
            this.highest = undefined;
        }
        if (ranAt >= (this.crashedAt.get(part) ?? Infinity) && this.seen.delete(part)) {
            this.highest = undefined;
        }
        if (ranAt >= (this.series.get(part)?.lastAt ?? Infinity)) {
            this.series.delete(part);
        }
    }

    private recentRunsWith(part: string): number {
        const { weight = 0, at = 0 } = this.runsWith.get(part) ?? {};
        return weight * Math.exp((at - this.runs) / shareWindow);
    }
}
