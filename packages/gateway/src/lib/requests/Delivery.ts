import { type Clock } from "@waxwingspar/utils";

/** Options of {@link Delivery}. */
export interface DeliveryOptions {
    readonly clock: Clock;
    /** Called when a chunk was flushed, with the milliseconds since it was written. */
    readonly onFlushed?: (wait: number) => void;
}

/**
 * Tracks when the chunks of one answer were flushed. A chunk is flushed once the operating system has accepted all of
 * it; chunks queued behind a congested link or a slow caller are not. For that reason alone a pause seen by the caller
 * can be longer than the pause between the target's events.
 */
export class Delivery {
    private firstFlushTime: number | undefined;
    private lastFlushTime: number | undefined;
    private pause = 0;
    private wait = 0;

    constructor(private readonly options: DeliveryOptions) {}

    /** Time on the clock at which the first chunk was flushed. */
    get firstFlushedAt(): number | undefined {
        return this.firstFlushTime;
    }

    /** Longest time in milliseconds between two flushed chunks. */
    get longestPause(): number {
        return this.pause;
    }

    /** Longest time in milliseconds from the writing of a chunk until it was flushed. */
    get longestWait(): number {
        return this.wait;
    }

    /** Starts tracking a chunk that is written now. @returns The callback for its write. */
    begin(): (error?: unknown) => void {
        const writtenAt = this.options.clock.now();
        return error => {
            // An error means that the caller has disconnected, which the end of the answer reports.
            if (!(error instanceof Error)) {
                this.recordFlush(writtenAt);
            }
        };
    }

    private recordFlush(writtenAt: number): void {
        const now = this.options.clock.now();
        this.firstFlushTime ??= now;
        this.pause = Math.max(this.pause, now - (this.lastFlushTime ?? now));
        this.lastFlushTime = now;
        this.wait = Math.max(this.wait, now - writtenAt);
        this.options.onFlushed?.(now - writtenAt);
    }
}
