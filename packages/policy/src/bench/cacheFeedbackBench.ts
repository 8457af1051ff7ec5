import { cacheCases, cacheFeedbacks, runCacheFeedback } from "./cacheFeedback.js";

/** Means over all seeds. */
interface Figures {
    readonly hits: number;
    readonly mean: number;
    readonly p95: number;
}

/** Seeds 1 to 3 are excluded, since the router's constants are based on them. */
const seeds = [11, 12, 13, 14, 15, 16];

process.stdout.write(
    "| case | feedback | hit share | mean first token, ms | p95 first token, ms |\n|---|---|---|---|---|\n",
);
for (const cacheCase of cacheCases) {
    let base: Figures | undefined;
    for (const feedback of cacheFeedbacks) {
        const results = seeds.map(seed => runCacheFeedback(cacheCase, feedback, seed));
        const figures: Figures = {
            hits: mean(results.map(result => result.hitShare)),
            mean: mean(results.map(result => result.firstTokenMean)),
            p95: mean(results.map(result => result.firstTokenP95)),
        };
        base ??= figures;
        const cells = [
            cacheCase.name,
            feedback.name,
            compared(figures.hits, base.hits, 3),
            compared(figures.mean, base.mean, 0),
            compared(figures.p95, base.p95, 0),
        ];
        process.stdout.write(`| ${cells.join(" | ")} |\n`);
    }
}

/** Formats a figure with its ratio to the figure without feedback. */
function compared(value: number, base: number, digits: number): string {
    return `${value.toFixed(digits)} (${(value / base).toFixed(2)})`;
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
