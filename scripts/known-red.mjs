// Reads KNOWN-RED.txt, the list of tests and review cases that may fail temporarily, one line each, and judges a test run
// by it. A line is `PACKAGE: TEST | COMMAND | SEED | WHAT WAS SEEN | ISSUE`, or begins with `review: CASE`.
import { existsSync, readFileSync } from "node:fs";
import { relative, sep } from "node:path";

const maxEntries = 8;
/** Tests of crowds that misbehave have a line each, which does not count against {@link maxEntries}. */
const uncountedPrefix = "abuse: ";
const form = "PACKAGE: TEST | COMMAND | SEED | WHAT WAS SEEN | ISSUE";
const fieldPatterns = [/^[a-z]+: \S.*$/, /\S/, /^(seeds? \d[\d, ]*|no seed)$/, /\S/, /^\d+$/];
/** Cases of a review are run by hand, since they build and start the whole gateway. */
const reviewPrefix = "review: ";

/** Reads the list, empty if the file is missing. Throws on a malformed line, a repeated test or too many lines. */
export function readKnownRed(path) {
    if (!existsSync(path)) {
        return [];
    }
    const lines = readFileSync(path, "utf8").split("\n").filter(line => line.trim() !== "");
    const counted = lines.filter(line => !line.startsWith(uncountedPrefix)).length;
    if (counted > maxEntries) {
        throw new Error(`${path} has ${counted} lines; ${maxEntries} are allowed`);
    }
    const tests = lines.map(line => {
        const fields = line.split(" | ");
        if (fields.length !== fieldPatterns.length || !fieldPatterns.every((pattern, at) => pattern.test(fields[at]))) {
            throw new Error(`${path}: not "${form}": ${line}`);
        }
        const [test, command, seed, seen, issue] = fields;
        return { test, command, seed, seen, issue };
    });
    if (new Set(tests.map(({ test }) => test)).size < tests.length) {
        throw new Error(`${path} lists a test twice`);
    }
    return tests;
}

/** The adapter to the users' platform, a workspace of its own beside the packages. */
const adapter = "platform";

/** Returns a test's name as in the list. The failure of a whole file gets no package prefix and so cannot be listed. */
function listedName({ name, file }) {
    const [folder, packageName] = relative(process.cwd(), file ?? "").split(sep);
    const workspace = folder === "packages" ? packageName : folder;
    return folder === "packages" || folder === adapter ? `${workspace}: ${name}` : name;
}

/**
 * Compares the outcomes of a run with the list.
 *
 * @param packages - The packages that were run; listed tests of other packages are ignored.
 * @returns Whether the run passes, and the lines to print.
 */
export function judgeRun(known, outcomes, packages, status) {
    const failed = new Set(outcomes.filter(({ passed }) => !passed).map(listedName));
    const passed = new Set(outcomes.filter(one => one.passed).map(listedName));
    const listed = known.filter(({ test }) => packages.includes(test.split(":")[0]));
    const lines = known.filter(({ test }) => test.startsWith(reviewPrefix)).map(entry =>
        `known red, run by hand: ${describe(entry)}`
    );
    let passes = status === 0 || failed.size > 0;
    for (const entry of listed) {
        const { test } = entry;
        if (failed.has(test)) {
            lines.push(`known red, passed over: ${describe(entry)}`);
        }
        else if (passed.has(test)) {
            lines.push(`known red, but it passes; remove it from the list: ${test}`);
        }
        else {
            passes = false;
            lines.push(`known red, but it did not run: ${test}`);
        }
    }
    for (const test of failed) {
        if (!listed.some(one => one.test === test)) {
            passes = false;
            lines.push(`failed: ${test}`);
        }
    }
    return { passes, lines };
}

function describe({ test, command, seed, seen, issue }) {
    return `${test} (${command}, ${seed}: ${seen}; issue ${issue})`;
}
