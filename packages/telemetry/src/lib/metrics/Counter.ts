import { type Labels, Metric } from "./Metric.js";

/**
 * A monotonically increasing number.
 *
 * @public
 */
export class Counter extends Metric<{ value: number; }> {
    protected override readonly type = "counter";

    /** Adds to the series with these labels. */
    add(labels: Labels = {}, amount = 1): void {
        this.series(labels).value += amount;
    }

    protected override create(): { value: number; } {
        return { value: 0 };
    }

    protected override renderSeries(labels: string, series: { value: number; }): string[] {
        return [`${this.name}${labels} ${series.value}`];
    }
}
