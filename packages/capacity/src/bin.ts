/**
 * Runs every measurement, fits a line to each and writes the table of docs/CAPACITY.md: `npm run capacity`.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { cpus, loadavg, totalmem } from "node:os";
import { fitLine } from "./lib/fitLine.js";
import { type Measurement, measurements } from "./lib/measurements.js";
import { replaceSection } from "./lib/replaceSection.js";

const pageUrl = new URL("../../../docs/CAPACITY.md", import.meta.url);
const header = `| role | mechanism | quantity | measured at | per unit | fixed part | residual | at fleet size |
|---|---|---|---|---|---|---|---|`;

function measureRow({ role, mechanism, quantity, per, sizes, fleetSize, measure }: Measurement): string {
    // The first run only warms up the JIT compiler; its result is discarded.
    measure(sizes[0] ?? 1);
    const points = sizes.map(x => ({ x, y: median([measure(x), measure(x), measure(x)]) }));
    const fit = fitLine(points);
    const measured = points.map(({ x, y }) => `${x}: ${format(y)}`).join(", ");
    const slope = `${format(fit.slope)} per ${per}`;
    const residual = `${(100 * fit.residual).toFixed(0)}%`;
    const fleet = `${format(fit.at(fleetSize))} at ${fleetSize}`;
    return `| ${[role, mechanism, quantity, measured, slope, format(fit.intercept), residual, fleet].join(" | ")} |`;
}

function median(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;
}

function format(value: number): string {
    return Math.abs(value) >= 100 ? value.toFixed(0) : String(Number(value.toPrecision(3)));
}

function describeMachine(): string {
    const gibibytes = (totalmem() / 2 ** 30).toFixed(0);
    const load = loadavg()[0]?.toFixed(1);
    const day = new Date().toISOString().slice(0, 10);
    return `${day}, Node.js ${process.version}, ${cpus().length} cores (${
        cpus()[0]?.model
    }), ${gibibytes} GiB, load average `
        + `${load} at the start.`;
}

const machineAtStart = describeMachine();
const rows = measurements.map(measureRow);
const table = [machineAtStart, "", header, ...rows].join("\n");
process.stdout.write(`${table}\n`);
writeFileSync(pageUrl, replaceSection(readFileSync(pageUrl, "utf8"), "slopes", table));
