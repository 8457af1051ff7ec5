/** Labels of one series, such as a route or a result code. @public */
export type Labels = Readonly<Record<string, string | number>>;

/**
 * What every metric has.
 *
 * @public
 */
export interface MetricOptions {
    /** The name in the habits of Prometheus, with its unit: `waxwingspar_requests_total`. */
    readonly name: string;
    /** One sentence for people. */
    readonly help: string;
}

/** Series of one metric; further label values are counted together, so that callers cannot fill the memory. */
const maxSeries = 2000;

/** The series that takes what is beyond the limit. */
const overflowKey = "{overflow=\"true\"}";

/**
 * One metric with a value for each set of labels.
 *
 * @internal
 */
export abstract class Metric<Series> {
    readonly name: string;
    private readonly help: string;
    private readonly all = new Map<string, Series>();

    constructor(options: MetricOptions) {
        this.name = options.name;
        this.help = options.help;
    }

    /** The lines of this metric in the Prometheus text format. */
    render(): string[] {
        const lines = [`# HELP ${this.name} ${this.help}`, `# TYPE ${this.name} ${this.type}`];
        for (const [key, series] of this.all) {
            lines.push(...this.renderSeries(key, series));
        }
        return lines;
    }

    protected series(labels: Labels): Series {
        const key = labelText(labels);
        const known = this.all.get(key);
        if (known !== undefined) {
            return known;
        }
        return this.all.size < maxSeries
            ? this.addSeries(key)
            : this.all.get(overflowKey) ?? this.addSeries(overflowKey);
    }

    protected abstract readonly type: "counter" | "gauge" | "summary";
    protected abstract create(): Series;
    protected abstract renderSeries(labels: string, series: Series): string[];

    private addSeries(key: string): Series {
        const series = this.create();
        this.all.set(key, series);
        return series;
    }
}

/**
 * Adds a label to the text of others.
 *
 * @internal
 */
export function withLabel(labels: string, name: string, value: string | number): string {
    const added = labelText({ [name]: value });
    return labels === "" ? added : `${labels.slice(0, -1)},${added.slice(1)}`;
}

function labelText(labels: Labels): string {
    const names = Object.keys(labels);
    if (names.length === 0) {
        return "";
    }
    return `{${names.map(name => `${name}="${escape(String(labels[name]))}"`).join(",")}}`;
}

function escape(value: string): string {
    return value.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"").replaceAll("\n", "\\n");
}
