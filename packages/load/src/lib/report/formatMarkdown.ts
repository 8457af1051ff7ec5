import { type LatencySummary, type LoadSummary } from "./LoadSummary.js";

const percent = 100;

/**
 * Formats the summary of a run as Markdown.
 *
 * @param title - The heading.
 * @param notes - Lines that describe the machine, the command and the settings.
 * @public
 */
export function formatMarkdown(title: string, notes: readonly string[], summary: LoadSummary): string {
    const { bounds, good, seconds, tokenRate, promptTokens } = summary;
    const outcomes = Object.entries(summary.outcomes).map(([name, count]) => `| ${name} | ${count} |`);
    return [
        `# ${title}`,
        "",
        ...notes.map(note => `- ${note}`),
        `- ${summary.calls} calls over ${seconds.toFixed(1)} s until the last end; ${tokenRate.toFixed(0)} tokens/s; `
        + `${promptTokens.toFixed(0)} tokens in a prompt on average`,
        `- within the bounds (first token ${bounds.firstToken} ms, ${bounds.share * percent} of 100 tokens `
        + `${bounds.token} ms apart or less): ${good.count} requests, ${(good.share * percent).toFixed(1)}% of those `
        + `planned, ${good.rate.toFixed(2)}/s`,
        "",
        "| milliseconds | count | mean | p50 | p90 | p95 | p99 | p99.9 | max |",
        "|---|---|---|---|---|---|---|---|---|",
        row("first token, from the planned arrival", summary.firstToken),
        row("between tokens", summary.token),
        row("whole answer, from the planned arrival", summary.total),
        row("plain call, from the planned arrival", summary.service),
        row("sent late by the generator", summary.sendDelay),
        "",
        "| outcome | calls |",
        "|---|---|",
        ...outcomes,
        "",
    ].join("\n");
}

function row(name: string, { count, mean, p50, p90, p95, p99, p999, max }: LatencySummary): string {
    const times = [mean, p50, p90, p95, p99, p999, max].map(time => count === 0 ? "" : time.toFixed(1));
    return `| ${[name, String(count), ...times].join(" | ")} |`;
}
