import { type Clock, type Timer } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { ageOf, type Moment } from "../Moment.js";
import { incarnationOf, type Target } from "./Target.js";

/** What happened to a target of the directory. */
export interface DirectoryChange {
    /** "restarted": it has started again, and nothing that was known of it holds. "stale": an entry of an earlier start came. */
    readonly kind: "added" | "changed" | "removed" | "lapsed" | "returned" | "restarted" | "stale";
    readonly target: Target;
    /** Milliseconds for which a lapsed target stays in use unless its entry comes back. */
    readonly keptFor?: number;
}

/** Options of {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
    readonly clock: Clock;
    readonly onChange?: (change: DirectoryChange) => void;
}

/**
 * Milliseconds for which the newest start of a target that was seen outweighs entries of an earlier one. A write of the
 * earlier one may be carried out 6 s late; after that, an earlier time of start means that the target's clock was set back.
 */
const earlierStartDelay = 8_000;

/** Targets that left and are remembered, so that an old copy of the list does not bring them back: a day's, on a large site. */
const mostDeparted = 2_000;

/**
 * The targets that the platform lists. An entry that vanishes while the store is well means that its target has gone;
 * one that vanishes around an outage may only have expired, and gets time to come back.
 *
 * @public
 */
export class TargetDirectory {
    private readonly targets = new Map<string, Target>();
    private readonly changedTimes = new Map<string, number>();
    /** When the newest start of each target was last seen, on the clock. */
    private readonly startSeenAt = new Map<string, number>();
    private readonly lapsed = new Map<string, Timer>();
    /** Starts of targets that left. */
    private readonly departed = new LRUCache<string, boolean>({ max: mostDeparted });
    private revisionCount = 0;
    private confirmedAt: Moment | undefined;

    constructor(private readonly options: TargetDirectoryOptions) {}

    /** Grows with every change, so that what was derived from the directory can be kept until then. */
    get revision(): number {
        return this.revisionCount;
    }

    /** Milliseconds since the store's list was last known to be as known here; what has changed since is not known. */
    get age(): number {
        return this.confirmedAt === undefined ? Infinity : Math.max(0, ageOf(this.confirmedAt, this.options.clock));
    }

    /** Notes that the store's list was as known here at the given moment or later. */
    confirm(moment: Moment): void {
        this.confirmedAt = moment;
    }

    get(id: string): Target | undefined {
        return this.targets.get(id);
    }

    /** When the entry of a target last changed here, on the clock. */
    changedAt(id: string): number {
        return this.changedTimes.get(id) ?? -Infinity;
    }

    /** All targets, those that are leaving as well. */
    list(): Target[] {
        return [...this.targets.values()];
    }

    /** Targets of a service that may get new work. */
    readyTargets(service: string): Target[] {
        return this.list().filter(target => target.service === service && target.state === "ready");
    }

    /** Takes the present entry of a target. */
    put(target: Target): void {
        const known = this.targets.get(target.id);
        if (known !== undefined && this.isOfEarlierStart(target, known)) {
            this.options.onChange?.({ kind: "stale", target });
            return;
        }
        this.startSeenAt.set(target.id, this.options.clock.now());
        this.set(target);
        const hadLapsed = this.cancelLapse(target.id);
        const hasRestarted = known !== undefined && known.startedAt !== target.startedAt;
        this.changed({
            kind: known === undefined ? "added" : hasRestarted ? "restarted" : hadLapsed ? "returned" : "changed",
            target,
        });
    }

    /**
     * Whether news of a target, which gives this time of its start, holds for its present entry: neither may be of an
     * earlier start. News of a later one is taken.
     *
     * @param target - The entry that the target was asked by.
     * @param startedAt - Undefined where it gave none, or did not answer.
     */
    confirmsStart(target: Target, startedAt: number | undefined): boolean {
        if (startedAt !== undefined) {
            this.noteStart(target.id, startedAt);
        }
        const isCurrent = this.targets.get(target.id)?.startedAt === target.startedAt;
        return isCurrent
            && (startedAt === undefined || target.startedAt === undefined || startedAt === target.startedAt);
    }

    /** A target has started again: its entry is of an earlier start until it changes. */
    private noteStart(id: string, startedAt: number): void {
        const known = this.targets.get(id);
        if (known === undefined || known.startedAt === undefined || known.startedAt >= startedAt) {
            return;
        }
        const target = { ...known, startedAt, layers: undefined };
        this.startSeenAt.set(id, this.options.clock.now());
        this.set(target);
        this.changed({ kind: "restarted", target });
    }

    private isOfEarlierStart(target: Target, known: Target): boolean {
        if (target.startedAt === undefined || known.startedAt === undefined || target.startedAt >= known.startedAt) {
            return false;
        }
        return this.options.clock.now() - (this.startSeenAt.get(target.id) ?? -Infinity) < earlierStartDelay;
    }

    private set(target: Target): void {
        this.targets.set(target.id, target);
        this.changedTimes.set(target.id, this.options.clock.now());
    }

    /**
     * Takes the news that a target is no longer listed.
     *
     * @param graceEnd - Until when, on the clock, the entry of a live target may come back, because the store was away.
     */
    remove(id: string, graceEnd: number): void {
        const target = this.targets.get(id);
        if (target === undefined || this.lapsed.has(id)) {
            return;
        }
        const grace = graceEnd - this.options.clock.now();
        if (grace <= 0 || target.state === "draining") {
            this.drop(target);
            return;
        }
        const timer = this.options.clock.schedule(() => this.drop(target), grace);
        this.lapsed.set(id, timer);
        this.changed({ kind: "lapsed", target, keptFor: grace });
    }

    /**
     * Takes a whole list. Whatever it lacks counts as removed.
     *
     * @param isRestored - The list is a copy that may be older than what is known: it brings no target back that has left or is
     * leaving. One that lives after all writes its entry again, and that is taken like any change.
     */
    replaceAll(targets: readonly Target[], graceEnd: number, isRestored = false): void {
        const listed = new Set(targets.map(target => target.id));
        for (const target of targets) {
            if (isRestored && this.isLeavingOrGone(target)) {
                this.options.onChange?.({ kind: "stale", target });
            }
            else {
                this.put(target);
            }
        }
        const missing = [...this.targets.keys()].filter(id => !listed.has(id));
        missing.forEach(id => this.remove(id, graceEnd));
    }

    private isLeavingOrGone(target: Target): boolean {
        const known = this.targets.get(target.id);
        if (known === undefined) {
            return this.departed.has(incarnationOf(target));
        }
        if (known.startedAt === target.startedAt) {
            return known.state === "draining";
        }
        return (target.startedAt ?? Infinity) < (known.startedAt ?? -Infinity)
            || this.departed.has(incarnationOf(target));
    }

    private drop(target: Target): void {
        this.departed.set(incarnationOf(target), true);
        this.cancelLapse(target.id);
        this.targets.delete(target.id);
        this.changedTimes.delete(target.id);
        this.startSeenAt.delete(target.id);
        this.changed({ kind: "removed", target });
    }

    private cancelLapse(id: string): boolean {
        this.lapsed.get(id)?.cancel();
        return this.lapsed.delete(id);
    }

    private changed(change: DirectoryChange): void {
        this.revisionCount++;
        this.options.onChange?.(change);
    }
}
