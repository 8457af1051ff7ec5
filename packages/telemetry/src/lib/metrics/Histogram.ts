import { type Clock } from "@waxwingspar/utils";
// Imported by its file: the library's index loads modules that are not used here, which adds 33 ms to the start.
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";
import { type Labels, Metric, type MetricOptions, withLabel } from "./Metric.js";

/** Histograms record whole microseconds: precise enough for a hop, and the library records integers only. */
const microsecondsPerMillisecond = 1000;
const microsecondsPerSecond = 1_000_000;

/** An hour in microseconds. Longer durations are recorded as an hour. */
const maxMicroseconds = 3_600_000_000;

/** Quantiles cover the last one to two windows, so that they reflect recent durations. */
const windowMilliseconds = 60_000;

const quantiles = [0.5, 0.95, 0.99, 0.999];

type HdrHistogram = InstanceType<typeof int32Histogram.default>;

interface HistogramSeries {
    current: HdrHistogram;
    previous: HdrHistogram;
    windowStart: number;
    count: number;
    /** In microseconds. */
    sum: number;
}

/**
 * Durations, rendered as quantiles of the last one to two minutes with the total count and sum.
 *
 * @public
 */
export class Histogram extends Metric<HistogramSeries> {
    protected override readonly type = "summary";

    /** @param clock - Measures the windows. */
    constructor(options: MetricOptions, private readonly clock: Clock) {
        super(options);
    }

    /**
     * Records a duration.
     *
     * @param duration - Milliseconds, with fractions.
     */
    record(duration: number, labels: Labels = {}): void {
        const series = this.series(labels);
        this.rotate(series);
        const value = Math.min(maxMicroseconds, Math.max(0, Math.round(duration * microsecondsPerMillisecond)));
        series.current.recordValue(value);
        series.count++;
        series.sum += value;
    }

    protected override create(): HistogramSeries {
        return { current: create(), previous: create(), windowStart: this.clock.now(), count: 0, sum: 0 };
    }

    protected override renderSeries(labels: string, series: HistogramSeries): string[] {
        this.rotate(series);
        const recent = create();
        recent.add(series.previous);
        recent.add(series.current);
        const lines = quantiles.map(quantile => {
            const seconds = recent.getValueAtPercentile(quantile * 100) / microsecondsPerSecond;
            return `${this.name}${withLabel(labels, "quantile", quantile)} ${recent.totalCount === 0 ? NaN : seconds}`;
        });
        return [
            ...lines,
            `${this.name}_sum${labels} ${series.sum / microsecondsPerSecond}`,
            `${this.name}_count${labels} ${series.count}`,
        ];
    }

    private rotate(series: HistogramSeries): void {
        const age = this.clock.now() - series.windowStart;
        if (age < windowMilliseconds) {
            return;
        }
        const unused = series.previous;
        unused.reset();
        series.previous = age < 2 * windowMilliseconds ? series.current : unused;
        series.current = series.previous === unused ? create() : unused;
        series.windowStart = this.clock.now();
    }
}

function create(): HdrHistogram {
    const histogram = new int32Histogram.default(1, 2, 2);
    histogram.autoResize = true;
    return histogram;
}
