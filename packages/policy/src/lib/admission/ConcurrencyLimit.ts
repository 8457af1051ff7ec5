const observationsPerWindow = 128;
/**
 * The share of late intervals above which the target's own batch is taken as the cause. A batch that is too large makes
 * nearly all its streams late; a slow stage elsewhere only those that pass through it.
 */
const tolerated = 0.3;
/** A target that fills less of its limit than this does not owe its late intervals to its batch. */
const nearLimit = 0.8;
const decrease = 0.9;
const increase = 0.05;

/**
 * The number of items that may run at once so that the time between tokens stays within its bound: additive increase
 * while most intervals keep it, multiplicative decrease while many miss it and the batch is nearly full.
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
     * Counts one interval between tokens.
     *
     * @param interval - Milliseconds between two tokens of a stream.
     * @param running - Items that run now.
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
        if (lateShare <= tolerated) {
            this.current = Math.min(this.slots, this.current + Math.max(1, this.slots * increase));
            return;
        }
        // Streams that already run keep their slots, so an earlier decrease must take effect before the next one.
        if (running <= this.current && running >= this.current * nearLimit) {
            this.current = Math.max(1, Math.floor(Math.min(this.current, running) * decrease));
        }
    }
}
