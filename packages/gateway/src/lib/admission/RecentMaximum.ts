import { type Clock } from "@waxwingspar/utils";

/**
 * The largest of the values that were recorded within a time. Each value counts from its record to the next one, and the
 * last one until the retention time after its record.
 */
export class RecentMaximum {
    /** Largest first; each was recorded before the next. */
    private readonly peaks: { readonly value: number; at: number; }[] = [];

    /** @param retention - Milliseconds for which a value counts after it was replaced. */
    constructor(private readonly clock: Clock, private readonly retention: number) {}

    record(value: number): void {
        const now = this.clock.now();
        const last = this.peaks.at(-1);
        if (last !== undefined) {
            // The previous value held until now.
            last.at = now;
        }
        while ((this.peaks.at(-1)?.value ?? Infinity) <= value) {
            this.peaks.pop();
        }
        this.peaks.push({ value, at: now });
    }

    /** Undefined if no value was recorded lately. */
    get value(): number | undefined {
        const bound = this.clock.now() - this.retention;
        while ((this.peaks[0]?.at ?? Infinity) < bound) {
            this.peaks.shift();
        }
        return this.peaks[0]?.value;
    }
}
