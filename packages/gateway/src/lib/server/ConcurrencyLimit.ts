/** Options of {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
    /** The share of recent time in which the event loop had work, from 0 to 1. */
    readonly utilization: () => number;
    /** Number of requests in progress. */
    readonly open: () => number;
}

/** The limit of a process that has just started: its code is not compiled yet, so that requests cost several times more. */
const initialLimit = 32;
/** Minimum limit. Fewer requests are not what saturates a process, so that turning callers away would not help it. */
const minLimit = 16;
/** Utilization from which on a process does not keep up with its input. */
const saturation = 0.93;
/** Utilization below which a process can take some more requests, and many more. */
const spareUtilization = 0.89;
const lowUtilization = 0.7;
/** Factors by which the limit changes ten times a second. */
const decrease = 0.9;
const increase = 1.04;
const fastIncrease = 1.3;
/** Multiple of the requests in progress from which on a limit restricts nothing, and is removed. */
const ampleLimit = 8;

/**
 * Limits the requests in progress to what the processor of this process can carry, whatever their kind: the limit falls
 * while the event loop is saturated, and rises while it has time to spare. What is taken in is so bounded by what is
 * finished, and a stream counts for as long as its events take processor time.
 */
export class ConcurrencyLimit {
    private limit = initialLimit;

    constructor(private readonly options: ConcurrencyLimitOptions) {}

    /** Maximum number of requests in progress; infinite while the process has time to spare. */
    get value(): number {
        return this.limit;
    }

    /** Whether another request would exceed the limit. */
    get isFull(): boolean {
        return this.options.open() >= this.limit;
    }

    /** Adjusts the limit; to be called ten times a second. */
    adjust(): void {
        const utilization = this.options.utilization();
        const open = this.options.open();
        if (utilization > saturation) {
            // More requests than the limit are left over from a higher one, which must end before it can be judged.
            if (open <= this.limit) {
                this.limit = Math.max(minLimit, open * decrease);
            }
        }
        else if (utilization < spareUtilization) {
            const raised = Math.max(this.limit, open) * (utilization < lowUtilization ? fastIncrease : increase);
            this.limit = raised > Math.max(initialLimit, open * ampleLimit) ? Infinity : raised;
        }
    }
}
