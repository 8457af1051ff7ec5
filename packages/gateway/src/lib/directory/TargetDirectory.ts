import { type Clock, type Timer } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { ageOf, type Moment } from "../Moment.js";
import { incarnationOf, type Target } from "./Target.js";

/** A change of a target in the directory. */
export interface DirectoryChange {
    /**
     * "lapsed": the entry was removed, but the target is kept for a grace period. "returned": the entry of a lapsed
     * target was written again. "restarted": the target has a new incarnation, so what was known of it no longer
     * applies. "stale": an entry of an earlier incarnation, or of a target that is draining or has left, was ignored.
     */
    readonly kind: "added" | "changed" | "removed" | "lapsed" | "returned" | "restarted" | "stale";
    readonly target: Target;
    /** Milliseconds for which a lapsed target stays in use unless its entry is written again. */
    readonly keptFor?: number;
}

/** Options of {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
    readonly clock: Clock;
    readonly onChange?: (change: DirectoryChange) => void;
}

/**
 * Milliseconds after the newest incarnation of a target was last seen in which entries of earlier incarnations are
 * ignored. A write of an earlier incarnation may be executed up to 6 s late; after that, an earlier start time means
 * that the target's clock was set back.
 */
const staleEntryWindow = 8_000;

/**
 * Maximum number of departed incarnations to remember, so that a restored older list does not add them again. This
 * covers one day on a large site.
 */
const maxDeparted = 2_000;

/**
 * The targets in the platform's list. An entry that is removed while the store works means that its target has left. An
 * entry that is removed around an outage of the store may only have expired, so its target is kept for a grace period.
 *
 * @public
 */
export class TargetDirectory {
    private readonly targets = new Map<string, Target>();
    private readonly entryChangedAt = new Map<string, number>();
    /** When the newest incarnation of each target was last seen, on the clock. */
    private readonly startSeenAt = new Map<string, number>();
    /** Timers that drop lapsed targets at the end of their grace period. */
    private readonly lapsed = new Map<string, Timer>();
    /** Incarnations of targets that have left. */
    private readonly departed = new LRUCache<string, boolean>({ max: maxDeparted });
    /** Incarnations of targets that said in a reply that they leave. */
    private readonly leaving = new LRUCache<string, boolean>({ max: maxDeparted });
    private revisionCount = 0;
    private confirmedAt: Moment | undefined;

    constructor(private readonly options: TargetDirectoryOptions) {}

    /** Increases with every change, so that results derived from the directory can be cached until the next change. */
    get revision(): number {
        return this.revisionCount;
    }

    /** Milliseconds since the latest moment at which the directory was confirmed to match the store's list. */
    get age(): number {
        return this.confirmedAt === undefined ? Infinity : Math.max(0, ageOf(this.confirmedAt, this.options.clock));
    }

    /** Records that the directory matched the store's list at the given moment or later. */
    confirm(moment: Moment): void {
        this.confirmedAt = moment;
    }

    get(id: string): Target | undefined {
        return this.targets.get(id);
    }

    /** When the entry of a target last changed in the directory, on the clock. */
    changedAt(id: string): number {
        return this.entryChangedAt.get(id) ?? -Infinity;
    }

    /** All targets, including those that are draining. */
    list(): Target[] {
        return [...this.targets.values()];
    }

    /** The targets of a service that may get new requests. */
    readyTargets(service: string): Target[] {
        return this.list().filter(target => target.service === service && target.state === "ready");
    }

    /** Adds or updates a target from its current entry. */
    put(target: Target): void {
        const known = this.targets.get(target.id);
        if (known !== undefined && this.isFromEarlierStart(target, known)) {
            this.options.onChange?.({ kind: "stale", target });
            return;
        }
        this.startSeenAt.set(target.id, this.options.clock.now());
        this.set(this.leaving.has(incarnationOf(target)) ? { ...target, state: "draining" } : target);
        const hadLapsed = this.cancelLapse(target.id);
        const hasRestarted = known !== undefined && known.startedAt !== target.startedAt;
        this.changed({
            kind: known === undefined ? "added" : hasRestarted ? "restarted" : hadLapsed ? "returned" : "changed",
            target,
        });
    }

    /**
     * Records that a target said that it leaves. This incarnation gets no new requests from then on, whatever its entry
     * says.
     *
     * @returns Whether this was not known.
     */
    recordLeaving(target: Target): boolean {
        const incarnation = incarnationOf(target);
        if (this.leaving.has(incarnation)) {
            return false;
        }
        this.leaving.set(incarnation, true);
        const known = this.targets.get(target.id);
        if (known !== undefined && incarnationOf(known) === incarnation && known.state === "ready") {
            this.put(known);
        }
        return true;
    }

    /** Whether a request that was meant for a target may still be sent there. */
    mayReceive(target: Target): boolean {
        const known = this.targets.get(target.id);
        return known === undefined ? !this.departed.has(incarnationOf(target)) : known.state === "ready"
            && known.startedAt === target.startedAt;
    }

    /**
     * Whether a reply of a target applies to its current entry: neither may be of an earlier incarnation than the
     * other. A reply of a later incarnation marks the target as restarted, unless it came from another target that has
     * the address now.
     *
     * @param target - The entry with which the call to the target was made.
     * @param startedAt - The start time in the reply; undefined if it contained none, or there was no reply.
     */
    confirmsIncarnation(target: Target, startedAt: number | undefined): boolean {
        if (startedAt !== undefined) {
            if (this.isOfAnother(target, startedAt)) {
                return false;
            }
            this.recordRestart(target.id, startedAt);
        }
        const isCurrent = this.targets.get(target.id)?.startedAt === target.startedAt;
        return isCurrent
            && (startedAt === undefined || target.startedAt === undefined || startedAt === target.startedAt);
    }

    /** Whether a start that was told at a target's address is that of another target which is listed there. */
    private isOfAnother({ id, host, port, startedAt: knownStart }: Target, startedAt: number): boolean {
        return startedAt !== knownStart
            && this.list().some(other =>
                other.id !== id && other.startedAt === startedAt && other.host === host && other.port === port
            );
    }

    /** Records that a target has restarted, before its entry in the list shows it. */
    private recordRestart(id: string, startedAt: number): void {
        const known = this.targets.get(id);
        if (known === undefined || known.startedAt === undefined || known.startedAt >= startedAt) {
            return;
        }
        const state = this.leaving.has(incarnationOf(known)) ? "ready" : known.state;
        const target: Target = { ...known, startedAt, state, layers: undefined };
        this.startSeenAt.set(id, this.options.clock.now());
        this.set(target);
        this.changed({ kind: "restarted", target });
    }

    private isFromEarlierStart(target: Target, known: Target): boolean {
        if (target.startedAt === undefined || known.startedAt === undefined || target.startedAt >= known.startedAt) {
            return false;
        }
        return this.options.clock.now() - (this.startSeenAt.get(target.id) ?? -Infinity) < staleEntryWindow;
    }

    private set(target: Target): void {
        this.targets.set(target.id, target);
        this.entryChangedAt.set(target.id, this.options.clock.now());
    }

    /**
     * Handles the removal of a target from the list.
     *
     * @param graceEnd - Until when, on the clock, a live target may still write its entry again after an outage of the
     * store.
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
     * Replaces the directory by a complete list. Targets that are missing from it are handled as removed.
     *
     * @param isRestored - Whether an entry comes from a restored copy of the store and may be older than the directory,
     * so it does not add targets again that have left or are draining. If such a target still runs, it writes its entry
     * again, which is applied as usual.
     */
    replaceAll(
        targets: readonly Target[],
        graceEnd: number,
        isRestored: (target: Target) => boolean = () => false,
    ): void {
        const listed = new Set(targets.map(target => target.id));
        for (const target of targets) {
            if (isRestored(target) && this.isDrainingOrGone(target)) {
                this.options.onChange?.({ kind: "stale", target });
            }
            else {
                this.put(target);
            }
        }
        const missing = [...this.targets.keys()].filter(id => !listed.has(id));
        missing.forEach(id => this.remove(id, graceEnd));
    }

    private isDrainingOrGone(target: Target): boolean {
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
        this.entryChangedAt.delete(target.id);
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
