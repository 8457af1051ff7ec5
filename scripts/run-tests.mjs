// Runs every compiled test file with Node's own test runner, and fails when there are none.
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";
import { join } from "node:path";

const testSuffix = ".test.js";

/** Lists the compiled test files below a folder, in a stable order. */
function findTests(folder) {
    return readdirSync(folder, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile() && entry.name.endsWith(testSuffix))
        .map(entry => join(entry.parentPath, entry.name))
        .sort();
}

const packages = process.argv.length > 2 ? process.argv.slice(2) : readdirSync("packages");
const files = packages.flatMap(name => findTests(join("packages", name, "dist")));
if (files.length === 0) {
    console.error("no test files found; run the build first");
    process.exit(1);
}
const run = spawnSync(process.execPath, ["--test", "--test-timeout=240000", "--enable-source-maps", ...files], {
    stdio: "inherit",
});
process.exit(run.status ?? 1);
