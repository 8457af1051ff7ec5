/** Labels of one series, such as a route or a result code. @public */
export type Labels = Readonly<Record<string, string | number>>;

/**
 * Options of every metric.
 *
 * @public
 */
export interface MetricOptions {
    /** The name by the conventions of Prometheus, with its unit, such as `waxwingspar_requests_total`. */
    readonly name: string;
    /** A sentence that describes the metric to operators. */
    readonly help: string;
}

/** Maximum number of series of a metric. Further labels share one series, so that callers cannot exhaust the memory. */
const maxSeries = 2000;

/** Labels of the series shared by label values beyond the limit. */
const overflowKey = "{overflow=\"true\"}";

/**
 * A metric with a value for each set of labels.
 *
 * @internal
 */
export abstract class Metric<Series> {
    readonly name: string;
    private readonly help: string;
    private readonly seriesByLabels = new Map<string, Series>();

    constructor(options: MetricOptions) {
        this.name = options.name;
        this.help = options.help;
    }

    /** Returns the lines of this metric in the Prometheus text format. */
    render(): string[] {
        const lines = [`# HELP ${this.name} ${this.help}`, `# TYPE ${this.name} ${this.type}`];
        for (const [key, series] of this.seriesByLabels) {
            lines.push(...this.renderSeries(key, series));
        }
        return lines;
    }

    /** Returns the series with these labels, or the shared one if the limit has been reached. */
    protected series(labels: Labels): Series {
        const key = renderLabels(labels);
        const known = this.seriesByLabels.get(key);
        if (known !== undefined) {
            return known;
        }
        return this.seriesByLabels.size < maxSeries
            ? this.addSeries(key)
            : this.seriesByLabels.get(overflowKey) ?? this.addSeries(overflowKey);
    }

    protected abstract readonly type: "counter" | "gauge" | "summary";
    protected abstract create(): Series;
    protected abstract renderSeries(labels: string, series: Series): string[];

    private addSeries(key: string): Series {
        const series = this.create();
        this.seriesByLabels.set(key, series);
        return series;
    }
}

/**
 * Adds a label to rendered labels.
 *
 * @internal
 */
export function withLabel(labels: string, name: string, value: string | number): string {
    const added = renderLabels({ [name]: value });
    return labels === "" ? added : `${labels.slice(0, -1)},${added.slice(1)}`;
}

function renderLabels(labels: Labels): string {
    const names = Object.keys(labels);
    if (names.length === 0) {
        return "";
    }
    return `{${names.map(name => `${name}="${escape(String(labels[name]))}"`).join(",")}}`;
}

function escape(value: string): string {
    return value.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"").replaceAll("\n", "\\n");
}
