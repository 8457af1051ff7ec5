// Tests that may fail for a time, as KNOWN-RED.txt lists them: PACKAGE: TEST | CAUSE | ISSUE, at most three lines.
import { existsSync, readFileSync } from "node:fs";
import { relative, sep } from "node:path";

const most = 3;
const lineForm = /^([a-z]+: .*\S) \| (.*\S) \| (.*\S)$/;

/** Reads the list; a missing file is an empty list. Throws when a line is malformed, stands twice, or is one too many. */
export function readKnownRed(path) {
    if (!existsSync(path)) {
        return [];
    }
    const lines = readFileSync(path, "utf8").split("\n").filter(line => line.trim() !== "");
    if (lines.length > most) {
        throw new Error(`${path} has ${lines.length} lines; ${most} are allowed`);
    }
    const tests = lines.map(line => {
        const [, test, cause, issue] = lineForm.exec(line) ?? [];
        if (test === undefined) {
            throw new Error(`${path}: not "PACKAGE: TEST | CAUSE | ISSUE": ${line}`);
        }
        return { test, cause, issue };
    });
    if (new Set(tests.map(({ test }) => test)).size < tests.length) {
        throw new Error(`${path} lists a test twice`);
    }
    return tests;
}

/** The name that the list uses; a file that failed as a whole has no package's name before it, so it is never listed. */
function listedName({ name, file }) {
    const [folder, packageName] = relative(process.cwd(), file ?? "").split(sep);
    return folder === "packages" ? `${packageName}: ${name}` : name;
}

/**
 * Compares the outcomes of a run with the list.
 *
 * @param packages - The packages that were run; listed tests of others are left alone.
 * @returns Whether the run passes, and lines that tell why.
 */
export function judgeRun(known, outcomes, packages, status) {
    const failed = new Set(outcomes.filter(({ passed }) => !passed).map(listedName));
    const passed = new Set(outcomes.filter(one => one.passed).map(listedName));
    const listed = known.filter(({ test }) => packages.includes(test.split(":")[0]));
    const lines = [];
    let passes = status === 0 || failed.size > 0;
    for (const { test, cause, issue } of listed) {
        if (failed.has(test)) {
            lines.push(`known red, passed over: ${test} (${cause}; ${issue})`);
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
