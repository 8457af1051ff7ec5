const gap = "  ";

/**
 * Formats rows as aligned columns below a line of titles.
 *
 * @internal
 */
export function formatTable(titles: readonly string[], rows: readonly (readonly string[])[]): string {
    const all = [titles, ...rows];
    const widths = titles.map((_title, column) => Math.max(...all.map(row => row[column]?.length ?? 0)));
    const format = (row: readonly string[]) =>
        row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(gap).trimEnd();
    return all.map(format).join("\n") + "\n";
}
