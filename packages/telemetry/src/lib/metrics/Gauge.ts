import { type Labels, Metric } from "./Metric.js";

interface GaugeSeries {
    read: () => number;
}

/**
 * A number that is read each time the metrics are rendered.
 *
 * @public
 */
export class Gauge extends Metric<GaugeSeries> {
    protected override readonly type = "gauge";

    /** Sets the function that returns the value of the series with these labels. */
    observe(read: () => number, labels: Labels = {}): void {
        this.series(labels).read = read;
    }

    protected override create(): GaugeSeries {
        return { read: () => 0 };
    }

    protected override renderSeries(labels: string, series: GaugeSeries): string[] {
        return [`${this.name}${labels} ${series.read()}`];
    }
}
