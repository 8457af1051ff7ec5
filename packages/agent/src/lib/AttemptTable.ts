import { type Clock } from "@waxwingspar/utils";

/** What the table does with an attempt when a newer one arrives. @internal */
export interface TableAttempt {
    readonly epoch: number;
    /** A newer attempt of the same request has arrived at this agent. */
    supersede(): void;
}

/** @internal */
export interface AttemptTableOptions {
    readonly clock: Clock;
    /** Finished requests that are remembered at most. */
    readonly limit: number;
    /** Milliseconds for which they are remembered. */
    readonly retention: number;
}

interface Entry<Attempt> {
    readonly epoch: number;
    /** Undefined once the attempt has ended; only ended ones are forgotten. */
    readonly attempt: Attempt | undefined;
}

/**
 * The highest epoch seen of every request, also of those that ended a short time ago, so that whatever arrives late for
 * an older attempt is refused.
 *
 * @internal
 */
export class AttemptTable<Attempt extends TableAttempt> {
    private readonly entries = new Map<string, Entry<Attempt>>();
    /** Requests in the order in which they ended. A request may stand here and be open again. */
    private readonly ended = new Map<string, number>();

    constructor(private readonly options: AttemptTableOptions) {}

    /** Attempts that are open. */
    get open(): Attempt[] {
        const attempts: Attempt[] = [];
        this.entries.forEach(entry => entry.attempt !== undefined && attempts.push(entry.attempt));
        return attempts;
    }

    /** How many attempts are open. */
    get openCount(): number {
        return this.entries.size - this.ended.size;
    }

    /** Requests that are remembered, open ones included. */
    get size(): number {
        return this.entries.size;
    }

    /** The open attempt with exactly this epoch. */
    find(request: string, epoch: number): Attempt | undefined {
        const attempt = this.entries.get(request)?.attempt;
        return attempt?.epoch === epoch ? attempt : undefined;
    }

    /** Tells whether an attempt may begin: `stale` below the highest epoch seen, `repeat` at it. */
    judge(request: string, epoch: number): "new" | "repeat" | "stale" {
        const highest = this.entries.get(request)?.epoch ?? -1;
        if (epoch > highest) {
            return "new";
        }
        return epoch === highest ? "repeat" : "stale";
    }

    /** Enters an attempt that was judged new, and supersedes an older one that is still open. */
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

    /** Ends an attempt, or notes that one was refused or cancelled before it arrived. */
    end(request: string, epoch: number): void {
        const entry = this.entries.get(request);
        if (entry !== undefined && entry.epoch > epoch) {
            return;
        }
        const now = this.options.clock.now();
        this.entries.set(request, { epoch, attempt: undefined });
        this.ended.delete(request);
        this.ended.set(request, now);
        this.forgetOld(now);
    }

    private forgetOld(now: number): void {
        for (const [request, endedAt] of this.ended) {
            if (this.ended.size <= this.options.limit && now - endedAt <= this.options.retention) {
                return;
            }
            this.ended.delete(request);
            this.entries.delete(request);
        }
    }
}
