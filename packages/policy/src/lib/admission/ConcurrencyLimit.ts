const observationsPerWindow = 128;
/**
 * The share of late intervals above which the target's own batch counts as the cause. An oversized batch delays nearly
 * all of its streams; a slow stage on another target delays only the streams that pass through it.
 */
const maxLateShare = 0.3;
/** The limit is lowered only if at least this share of it is in use; below that the batch is not the cause. */
const minUtilisation = 0.8;
/** The factor by which the limit is lowered. */
const decrease = 0.9;
/** The step by which the limit is raised, as a share of the slots. */
const increase = 0.05;

/**
 * Limits the number of concurrent items so that the time between tokens stays within its bound. The limit rises
 * additively while most intervals are within the bound, and falls multiplicatively when many exceed it and the batch is
 * nearly full.
 *
 * @internal
 */
export class ConcurrencyLimit {
    private current: number;
    private seen = 0;
    private late = 0;

    constructor(private readonly slots: number, private readonly tokenBound: number) {
        this.current = slots;
    }

    get value(): number {
        return this.current;
    }

    /**
     * Records one interval between tokens.
     *
     * @param interval - Milliseconds between two tokens of a stream.
     * @param running - The number of items that are running.
     */
    observe(interval: number, running: number): void {
        this.seen++;
        if (interval > this.tokenBound) {
            this.late++;
        }
        if (this.seen >= observationsPerWindow) {
            this.adjust(running);
        }
    }

    private adjust(running: number): void {
        const lateShare = this.late / this.seen;
        this.seen = 0;
        this.late = 0;
        if (lateShare <= maxLateShare) {
            this.current = Math.min(this.slots, this.current + Math.max(1, this.slots * increase));
            return;
        }
        // Running streams keep their slots, so a decrease must have taken effect before the next one is made.
        if (running <= this.current && running >= this.current * minUtilisation) {
            this.current = Math.max(1, Math.floor(Math.min(this.current, running) * decrease));
        }
    }
}
