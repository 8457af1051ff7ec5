import { build, type Histogram } from "hdr-histogram-js";

/** The histograms record whole microseconds up to an hour; longer times count as an hour. */
const microsecondsPerMillisecond = 1000;
const maxMicroseconds = 3_600_000_000;

/** A distribution of latencies, in milliseconds. @public */
export interface LatencySummary {
    readonly count: number;
    readonly mean: number;
    readonly p50: number;
    readonly p90: number;
    readonly p95: number;
    readonly p99: number;
    readonly p999: number;
    readonly max: number;
}

/**
 * Collects latencies of one kind in a histogram.
 *
 * @internal
 */
export class Latencies {
    private readonly histogram: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxMicroseconds,
        numberOfSignificantValueDigits: 3,
        bitBucketSize: 64,
        useWebAssembly: false,
    });

    /** @param time - Milliseconds, with fractions. */
    record(time: number): void {
        this.histogram.recordValue(
            Math.min(maxMicroseconds, Math.max(0, Math.round(time * microsecondsPerMillisecond))),
        );
    }

    summary(): LatencySummary {
        const { histogram } = this;
        const at = (percentile: number): number => this.percentile(percentile);
        return {
            count: histogram.totalCount,
            mean: histogram.totalCount === 0 ? 0 : histogram.mean / microsecondsPerMillisecond,
            p50: at(50),
            p90: at(90),
            p95: at(95),
            p99: at(99),
            p999: at(99.9),
            max: histogram.totalCount === 0 ? 0 : histogram.maxValue / microsecondsPerMillisecond,
        };
    }

    /** The latency at a percentile, in milliseconds; 0 if none was recorded. */
    percentile(percentile: number): number {
        const { histogram } = this;
        return histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
    }
}
