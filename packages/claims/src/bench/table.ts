/** A table row of measured figures, by column name. */
export type Figures = Readonly<Record<string, number>>;

/** Formats figures as a Markdown table. */
export function markdownTable(title: string, lines: readonly Figures[]): string {
    const names = Object.keys(lines[0] ?? {});
    const rows = [names, names.map(() => "--:"), ...lines.map(line => names.map(name => format(line[name] ?? NaN)))];
    return `\n${title}\n\n${rows.map(row => `| ${row.join(" | ")} |`).join("\n")}\n`;
}

/** The value below which a given fraction of the sorted samples lies. */
export function quantile(sorted: readonly number[], part: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN;
}

function format(value: number): string {
    return Number.isInteger(value) ? String(value) : value.toPrecision(3);
}
