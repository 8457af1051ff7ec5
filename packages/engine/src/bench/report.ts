import { cpus, loadavg, totalmem } from "node:os";

const bytesPerGibibyte = 2 ** 30;

/** Returns the median of measurements. */
export function median(values: readonly number[]): number {
    return quantile(values, 0.5);
}

/**
 * Returns a quantile of measurements.
 *
 * @param values - The measurements, in any order; at least one.
 * @param share - The fraction of the measurements below the quantile, from 0 to 1.
 */
export function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
    return sorted[index] ?? NaN;
}

/** Describes the machine and its load, since absolute results depend on both. */
export function describeMachine(): string {
    const processors = cpus();
    const model = processors[0]?.model.trim() ?? "unknown processor";
    const memory = Math.round(totalmem() / bytesPerGibibyte);
    const [load = 0] = loadavg();
    return `Node ${process.version}, ${processors.length} x ${model}, ${memory} GiB, load average ${load.toFixed(1)}`;
}

/** Writes a Markdown table to the standard output. */
export function writeTable(header: readonly string[], rows: readonly (readonly (string | number)[])[]): void {
    const lines = [header, header.map(() => "---"), ...rows].map(cells => `| ${cells.join(" | ")} |`);
    process.stdout.write(`${lines.join("\n")}\n\n`);
}

/** Writes a line to the standard output. */
export function writeLine(text: string): void {
    process.stdout.write(`${text}\n`);
}
