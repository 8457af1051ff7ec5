import { type HistoryReport } from "@waxwingspar/history";
import { type DemoResult } from "./runDemo.js";

/**
 * Renders the findings of a history check as text.
 *
 * @internal
 */
export function formatHistory(report: HistoryReport): string {
    const rules = Object.entries(report.rules).map(([rule, { passed, violated, undecided }]) =>
        `  ${rule.padEnd(14)} ${cell(passed)} held ${cell(violated)} violated ${cell(undecided)} undecided`
    );
    const violations = report.violations.map(({ rule, request, message, lines }) => {
        const places = lines.map(line => `${line.process}:${line.sequence}`).join(", ");
        return `  ${rule}: ${request === undefined ? "" : `request ${request}: `}${message} (${places})`;
    });
    const heading = `${report.lines} lines of ${report.incarnations} processes, ${report.tokens} tokens delivered`;
    const ends = report.incomplete.map(name => `  ended without a last line: ${name}`);
    return [heading, ...ends, ...rules, ...violations].join("\n");
}

/**
 * Renders the outcome of the demo as text.
 *
 * @internal
 */
export function formatDemo(result: DemoResult): string {
    const checks = result.checks.map(({ name, holds, detail }) =>
        `${holds ? "ok    " : "FAILED"}  ${name.padEnd(36)} ${detail}`
    );
    return ["", "history:", formatHistory(result.history), "", ...checks].join("\n");
}

function cell(count: number): string {
    return String(count).padStart(5);
}
