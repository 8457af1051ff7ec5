import { type Clock } from "@waxwingspar/utils";

/** An attempt that an {@link AttemptTable} can supersede. @internal */
export interface TableAttempt {
    readonly epoch: number;
    /** Ends the attempt because a newer one of the same request has arrived at this agent. */
    supersede(): void;
}

/** @internal */
export interface AttemptTableOptions {
    readonly clock: Clock;
    /** Maximum number of finished requests that are remembered. */
    readonly limit: number;
    /** Milliseconds for which they are remembered. */
    readonly retention: number;
}

interface Entry<Attempt> {
    readonly epoch: number;
    /** Undefined once the attempt has ended; only ended ones are evicted. */
    readonly attempt: Attempt | undefined;
}

/**
 * Tracks the highest epoch seen for each open or recently ended request, so that late messages of an older attempt are
 * refused.
 *
 * @internal
 */
export class AttemptTable<Attempt extends TableAttempt> {
    private readonly entries = new Map<string, Entry<Attempt>>();
    /** The time at which each request ended, in the order of the ends. */
    private readonly ended = new Map<string, number>();

    constructor(private readonly options: AttemptTableOptions) {}

    /** The open attempts. */
    get open(): Attempt[] {
        const attempts: Attempt[] = [];
        this.entries.forEach(entry => entry.attempt !== undefined && attempts.push(entry.attempt));
        return attempts;
    }

    /** The number of open attempts. */
    get openCount(): number {
        return this.entries.size - this.ended.size;
    }

    /** The number of remembered requests, including open ones. */
    get size(): number {
        return this.entries.size;
    }

    /** Returns the open attempt with exactly this epoch. */
    find(request: string, epoch: number): Attempt | undefined {
        const attempt = this.entries.get(request)?.attempt;
        return attempt?.epoch === epoch ? attempt : undefined;
    }

    /** Classifies an attempt by the highest epoch seen: `new` above it, `repeat` at it, `stale` below it. */
    classify(request: string, epoch: number): "new" | "repeat" | "stale" {
        const highest = this.entries.get(request)?.epoch ?? -1;
        if (epoch > highest) {
            return "new";
        }
        return epoch === highest ? "repeat" : "stale";
    }

    /** Adds an attempt that was classified as new, and supersedes an older one that is still open. */
    begin(request: string, attempt: Attempt): void {
        const older = this.entries.get(request)?.attempt;
        this.entries.set(request, { epoch: attempt.epoch, attempt });
        this.ended.delete(request);
        older?.supersede();
    }

    /** Supersedes the open attempt of a request, if there is one with a lower epoch. */
    supersede(request: string, epoch: number): void {
        const attempt = this.entries.get(request)?.attempt;
        if (attempt !== undefined && attempt.epoch < epoch) {
            attempt.supersede();
        }
    }

    /** Records that an attempt has ended, was refused, or was cancelled before it arrived. */
    end(request: string, epoch: number): void {
        const entry = this.entries.get(request);
        if (entry !== undefined && entry.epoch > epoch) {
            return;
        }
        const now = this.options.clock.now();
        this.entries.set(request, { epoch, attempt: undefined });
        this.ended.delete(request);
        this.ended.set(request, now);
        this.evictOld(now);
    }

    private evictOld(now: number): void {
        for (const [request, endedAt] of this.ended) {
            if (this.ended.size <= this.options.limit && now - endedAt <= this.options.retention) {
                return;
            }
            this.ended.delete(request);
            this.entries.delete(request);
        }
    }
}
