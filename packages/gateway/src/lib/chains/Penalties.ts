import { type Clock } from "@waxwingspar/utils";

/** A reason to avoid a target for some time, which doubles when the reason recurs soon. */
export interface Penalty {
    readonly reason: string;
    /** Milliseconds for which the target is avoided the first time. */
    readonly duration: number;
    /** Upper bound of the duration after recurrences, in milliseconds. */
    readonly maxDuration: number;
}

/**
 * Milliseconds after the end of a penalty within which the next one for the same reason is twice as long. It exceeds
 * the time that a target needs to receive requests again and fail once more.
 */
const memory = 5_000;

interface PenaltyRecord {
    readonly duration: number;
    readonly end: number;
}

/** Determines how long targets are avoided, with exponential back-off for each recurring reason. */
export class Penalties {
    private readonly records = new Map<string, PenaltyRecord>();

    constructor(private readonly clock: Clock) {}

    /**
     * Records a penalty of a target.
     *
     * @returns Milliseconds for which the target is to be avoided. A penalty during an earlier one for the same reason
     * does not double the duration.
     */
    add(id: string, { reason, duration, maxDuration: longest }: Penalty): number {
        const now = this.clock.now();
        this.removeExpired(now);
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

    /** Discards the penalties of a target, for instance because it has restarted. */
    forget(id: string): void {
        for (const key of this.records.keys()) {
            if (key.startsWith(`${id} `)) {
                this.records.delete(key);
            }
        }
    }

    private removeExpired(now: number): void {
        for (const [key, { end }] of this.records) {
            if (end + memory < now) {
                this.records.delete(key);
            }
        }
    }
}
