import { LineChart } from "echarts/charts";
import { GridComponent, LegendComponent, MarkLineComponent, TitleComponent } from "echarts/components";
import { init, use } from "echarts/core";
import { SVGRenderer } from "echarts/renderers";
import { type Curve, type LoadSummary } from "./LoadSummary.js";

use([LineChart, GridComponent, LegendComponent, MarkLineComponent, TitleComponent, SVGRenderer]);

const size = { width: 900, height: 480 };

/** Lower end of the logarithmic axis in milliseconds; shorter latencies are drawn at this value. */
const minPlotted = 1;

/**
 * Draws the latencies of a run as curves over their percentiles, as SVG.
 *
 * @public
 */
export function plotLatencies(title: string, { curves, bounds }: LoadSummary): string {
    const chart = init(undefined, undefined, { renderer: "svg", ssr: true, ...size });
    chart.setOption({
        animation: false,
        title: { text: title, left: "center" },
        legend: { top: 40, itemGap: 40 },
        grid: { top: 100, bottom: 60, left: 80, right: 90 },
        xAxis: { type: "value", min: 0, max: 100, name: "share of the times (%)", nameLocation: "middle", nameGap: 30 },
        yAxis: { type: "log", name: "milliseconds", min: minPlotted },
        series: [
            line("first token", curves.firstToken, bounds.firstToken),
            line("between tokens", curves.token, bounds.token),
            line("whole answer", curves.total),
        ],
    });
    const svg = chart.renderToSVGString();
    chart.dispose();
    return svg;
}

function line(name: string, curve: Curve, bound?: number): object {
    const data = curve.map(([share, time]) => [share, Math.max(minPlotted, time)]);
    const mark = { silent: true, symbol: "none", label: { formatter: `${bound} ms` }, data: [{ yAxis: bound }] };
    return { name, type: "line", symbolSize: 4, data, markLine: bound === undefined ? undefined : mark };
}
