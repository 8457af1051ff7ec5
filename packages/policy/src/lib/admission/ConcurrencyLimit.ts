const observationsPerWindow = 128;
/** The contract allows one interval in twenty beyond the bound. */
const tolerated = 0.05;
const decrease = 0.9;
const increase = 0.05;

/**
 * The number of items that may run at once so that the time between tokens stays within its bound: additive increase
 * while at most one interval in twenty misses it, multiplicative decrease otherwise.
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
        if (running <= this.current) {
            this.current = Math.max(1, Math.floor(Math.min(this.current, running) * decrease));
        }
    }
}
