import { type Clock } from "@waxwingspar/utils";

/** A reason for which a target is avoided, again and longer if it comes again soon. */
export interface Penalty {
    readonly reason: string;
    /** Milliseconds for which the target is avoided the first time. */
    readonly duration: number;
    /** The longest that repetitions make of it, in milliseconds. */
    readonly longest: number;
}

/**
 * Milliseconds after the end of a penalty within which the next one for the same reason is twice as long. Chosen: longer
 * than a target needs to take requests again and fail once more.
 */
const memory = 5_000;

interface Record {
    readonly duration: number;
    readonly end: number;
}

/** How long targets are to be avoided: twice as long each time that the same reason comes back soon. */
export class Penalties {
    private readonly records = new Map<string, Record>();

    constructor(private readonly clock: Clock) {}

    /**
     * Counts a penalty of a target.
     *
     * @returns For how many milliseconds the target is to be avoided. One that comes while an earlier one runs changes
     * nothing about the next.
     */
    add(id: string, { reason, duration, longest }: Penalty): number {
        const now = this.clock.now();
        this.forgetOld(now);
        const key = `${id} ${reason}`;
        const known = this.records.get(key);
        const next = known === undefined
            ? duration
            : known.end > now
            ? known.duration
            : Math.min(longest, known.duration * 2);
        this.records.set(key, { duration: next, end: now + next });
        return next;
    }

    /** Forgets what a target did, for instance because it has started again. */
    forget(id: string): void {
        for (const key of this.records.keys()) {
            if (key.startsWith(`${id} `)) {
                this.records.delete(key);
            }
        }
    }

    private forgetOld(now: number): void {
        for (const [key, { end }] of this.records) {
            if (end + memory < now) {
                this.records.delete(key);
            }
        }
    }
}
