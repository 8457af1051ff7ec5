// Generates docs/RESULT-CODES.md from the tables in the code; with --check only compares.
import { resultCodes } from "@waxwingspar/utils";
import { readFileSync, writeFileSync } from "node:fs";

const path = "docs/RESULT-CODES.md";
const header = `# Result codes

Made by \`node scripts/result-codes.mjs\` from packages/utils/src/lib/resultCodes; do not edit.

- 1000 to 1999: a request ended without running, or its state is known. 2000 to 2999: its outcome is unknown.
- 3000 to 3999: resources and settings. 4000 to 4999: the platform. 5000 to 5999: between processes.

| number | name | execution | HTTP status | retry | meaning |
|---|---|---|---|---|---|
`;

const rows = resultCodes.map(code =>
    `| ${code.number} | \`${code.name}\` | ${code.execution} | ${code.status} | ${code.retry} | ${code.summary} |`
);
const text = `${header}${rows.join("\n")}\n`;

if (!process.argv.includes("--check")) {
    writeFileSync(path, text);
}
else if (readFileSync(path, "utf8") !== text) {
    console.error(`${path} is out of date; run node scripts/result-codes.mjs`);
    process.exit(1);
}
