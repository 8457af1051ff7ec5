// Runs every compiled test file with Node's test runner. Fails if there are no test files, or if a test fails that
// KNOWN-RED.txt does not list (see known-red.mjs).
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";
import { fileURLToPath } from "node:url";
import { judgeRun, readKnownRed } from "./known-red.mjs";

const testSuffix = ".test.js";

/** Lists the compiled test files below a folder, in a stable order. */
function findTests(folder) {
    if (!existsSync(folder)) {
        return [];
    }
    return readdirSync(folder, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile() && entry.name.endsWith(testSuffix))
        .map(entry => join(entry.parentPath, entry.name))
        .sort();
}

/** Runs test files and collects the outcome of each test. The status is null if the runner was ended by a signal. */
function runTests(files, options) {
    const folder = mkdtempSync(join(tmpdir(), "waxwingspar-tests-"));
    const outcomeFile = join(folder, "outcomes");
    const reporters = [
        `--test-reporter=${process.stdout.isTTY ? "spec" : "tap"}`,
        "--test-reporter-destination=stdout",
        `--test-reporter=${fileURLToPath(new URL("./outcome-reporter.mjs", import.meta.url))}`,
        `--test-reporter-destination=${outcomeFile}`,
    ];
    const settings = ["--test", "--enable-source-maps", ...options];
    const { status } = spawnSync(process.execPath, [...settings, ...reporters, ...files], {
        stdio: "inherit",
    });
    const text = existsSync(outcomeFile) ? readFileSync(outcomeFile, "utf8") : "";
    rmSync(folder, { recursive: true });
    return { status, outcomes: text.split("\n").filter(line => line !== "").map(line => JSON.parse(line)) };
}

/** Returns a name for a test file that is the same for its source, which the runner reports, and the compiled file. */
function moduleOf(file) {
    return relative(process.cwd(), file).replace(/^((?:packages.)?[^\\/]+.)(src|dist)(?=[\\/])/, "$1").replace(
        /[.][jt]s$/,
        "",
    );
}

/** The adapter to the users' platform, a workspace of its own beside the packages. */
const adapter = "platform";
const known = readKnownRed("KNOWN-RED.txt");
const packages = process.argv.length > 2 ? process.argv.slice(2) : [...readdirSync("packages"), adapter];
const files = packages.flatMap(name => findTests(join(name === adapter ? "" : "packages", name, "dist")));
if (files.length === 0) {
    console.error("no test files found; run the build first");
    process.exit(1);
}
const timeout = "--test-timeout=240000";
/** The tests of this package measure memory and descriptors, so they run after all others and one at a time. */
const apart = join("packages", "abuse");
const apartOptions = ["--test-timeout=1800000", "--test-concurrency=1"];
const groups = [
    { files: files.filter(file => !file.startsWith(apart)), options: [timeout] },
    { files: files.filter(file => file.startsWith(apart)), options: apartOptions },
];
const runs = groups.filter(group => group.files.length > 0).map(group => runTests(group.files, group.options));
const outcomes = runs.flatMap(run => run.outcomes);
const status = runs.some(run => run.status === null) ? null : Math.max(...runs.map(run => run.status));
const { passes, lines } = judgeRun(known, outcomes, packages, status);
lines.forEach(line => console.log(line));

/**
 * Reruns the failed files without the listed tests. A listed test can hide another failure of its file, so the file
 * must pass without it.
 */
function passesWithoutKnown() {
    const names = known.map(({ test }) => test.slice(test.indexOf(": ") + 2));
    const escaped = names.map(name => name.replaceAll(/[\\^$.*+?()[\]{}|/]/g, "\\$&"));
    const failed = new Set(outcomes.filter(({ passed }) => !passed).map(({ file }) => moduleOf(file)));
    // The runner also selects a test whose parent matches, and the parent of all tests of a file is named "<root>".
    const pattern = `--test-name-pattern=/^(?!(?:${[...escaped, "<root>"].join("|")})$)/`;
    const rests = groups.map(group => ({ ...group, files: group.files.filter(file => failed.has(moduleOf(file))) }))
        .filter(group => group.files.length > 0)
        .map(group => runTests(group.files, [...group.options, pattern]));
    const pass = rests.every(rest => rest.status === 0);
    if (!pass) {
        console.log("failed: a file with known red tests fails without them, too");
    }
    return pass;
}

process.exit(status !== null && passes && (status === 0 || passesWithoutKnown()) ? 0 : 1);
