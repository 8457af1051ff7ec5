import { readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { renderReport } from "./benchReport.js";
import { type BenchResult, runBench } from "./runBench.js";
import { runSweeps } from "./sweeps.js";

const usage = `usage: policyBench.js [options]
  --seed N              the seed of the arrivals, 1 if absent
  --quick               a small fleet, without the search for the highest load
  --json FILE           write the figures to a file
  --markdown FILE       write the report to a file instead of standard output
  --baseline-json FILE  compare with an earlier run's figures
  --sweep NAMES         instead, sweep these options, separated by commas; "all" for every option
`;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        quick: { type: "boolean", default: false },
        json: { type: "string" },
        markdown: { type: "string" },
        "baseline-json": { type: "string" },
        sweep: { type: "string" },
        help: { type: "boolean", default: false },
    },
});

const seed = Number(values.seed);
if (values.help || !Number.isInteger(seed)) {
    process.stdout.write(usage);
    process.exit(values.help ? 0 : 2);
}
if (values.sweep !== undefined) {
    const options = values.sweep === "all" ? values.sweep : values.sweep.split(",");
    runSweeps(options, [seed, seed + 1], text => process.stdout.write(`${text}\n\n`));
}
else {
    report();
}

function report(): void {
    const result = runBench({ seed, quick: values.quick, onProgress: line => process.stderr.write(`${line}\n`) });
    const path = values["baseline-json"];
    const earlier = path === undefined ? undefined : JSON.parse(readFileSync(path, "utf8")) as BenchResult;
    const markdown = renderReport(result, earlier);
    if (values.json !== undefined) {
        writeFileSync(values.json, `${JSON.stringify(result, undefined, 4)}\n`);
    }
    if (values.markdown === undefined) {
        process.stdout.write(markdown);
    }
    else {
        writeFileSync(values.markdown, markdown);
    }
}
