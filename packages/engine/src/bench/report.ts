import { cpus, loadavg, totalmem } from "node:os";

const bytesPerGibibyte = 2 ** 30;

/** The middle of some measurements. */
export function median(values: readonly number[]): number {
    return quantile(values, 0.5);
}

/**
 * The value below which a share of measurements lies.
 *
 * @param values - The measurements, in any order; at least one.
 * @param share - From 0 to 1.
 */
export function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
    return sorted[index] ?? NaN;
}

/** Names the machine and how busy it is, since both decide the absolute figures. */
export function machine(): string {
    const processors = cpus();
    const model = processors[0]?.model.trim() ?? "unknown processor";
    const memory = Math.round(totalmem() / bytesPerGibibyte);
    const [load = 0] = loadavg();
    return `Node ${process.version}, ${processors.length} x ${model}, ${memory} GiB, load average ${load.toFixed(1)}`;
}

/** Writes a table in Markdown to the standard output. */
export function writeTable(header: readonly string[], rows: readonly (readonly (string | number)[])[]): void {
    const lines = [header, header.map(() => "---"), ...rows].map(cells => `| ${cells.join(" | ")} |`);
    process.stdout.write(`${lines.join("\n")}\n\n`);
}

/** Writes a line to the standard output. */
export function writeLine(text: string): void {
    process.stdout.write(`${text}\n`);
}
