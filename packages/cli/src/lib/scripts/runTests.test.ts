import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";

const script = fileURLToPath(new URL("../../../../../scripts/run-tests.mjs", import.meta.url));
const good = "test('good', () => undefined);";
const bad = "test('bad, for a reason', () => { throw new Error('bad'); });";
const listed = "one: bad, for a reason | npm test | seed 1 | the clock is wrong | 7\n";
const described = "one: bad, for a reason (npm test, seed 1: the clock is wrong; issue 7)";

/** Runs the script on a temporary package. @returns Its exit code, and the lines it adds to the runner's output. */
function runTests(context: TestContext, tests: string, knownRed?: string) {
    const folder = mkdtempSync(join(tmpdir(), "waxwingspar-runs-"));
    context.after(() => rmSync(folder, { recursive: true }));
    mkdirSync(join(folder, "packages/one/dist"), { recursive: true });
    writeFileSync(join(folder, "packages/one/dist/One.test.js"), `const { test } = require("node:test");\n${tests}`);
    if (knownRed !== undefined) {
        writeFileSync(join(folder, "KNOWN-RED.txt"), knownRed);
    }
    // Node.js runs no tests in a process that it considers a child of another test runner.
    const env = { ...process.env, NODE_TEST_CONTEXT: undefined };
    const { status, stdout, stderr } = spawnSync(process.execPath, [script], { cwd: folder, env, encoding: "utf8" });
    const lines = stdout.split("\n").filter(line => /^(known red|failed)/.test(line));
    return { status, lines, stderr, ran: /^# tests [1-9]/m.test(stdout) };
}

test("without a list any failure fails the run", context => {
    const passing = runTests(context, good);
    assert.deepEqual([passing.status, passing.lines, passing.ran], [0, [], true]);
    const failing = runTests(context, good + bad);
    assert.deepEqual([failing.status, failing.lines], [1, ["failed: one: bad, for a reason"]]);
});

test("a listed failure is printed and ignored, and any other failure fails the run", context => {
    const over = runTests(context, good + bad, listed);
    const told = `known red, passed over: ${described}`;
    assert.deepEqual([over.status, over.lines], [0, [told]]);
    const other = runTests(context, `${bad}test("worse", () => { throw new Error("worse"); });`, listed);
    assert.deepEqual([other.status, other.lines], [1, [told, "failed: one: worse"]]);
    const broken = runTests(context, `${bad}process.nextTick(() => process.exit(9));`, listed);
    assert.equal(broken.status, 1, "a file that exits early is not covered by a listed test");
});

test("a file that fails after its listed test fails the run", context => {
    const late = [
        "setTimeout(() => { throw new Error('late'); }, 50);",
        "process.on('exit', () => { process.exitCode = 9; });",
        "process.on('exit', () => process.kill(process.pid, 'SIGKILL'));",
        "require('node:test').after(() => { throw new Error('hook'); });",
    ];
    assert.deepEqual(late.map(fault => runTests(context, bad + fault, listed).status), [1, 1, 1, 1]);
});

test("a listed test that passes is reported, and one that was skipped or is missing fails the run", context => {
    const passing = runTests(context, "test('bad, for a reason', () => undefined);", listed);
    const told = "known red, but it passes; remove it from the list: one: bad, for a reason";
    assert.deepEqual([passing.status, passing.lines], [0, [told]]);
    const missing = "known red, but it did not run: one: bad, for a reason";
    const skipped = runTests(context, `${good}${bad.replace("test(", "test.skip(")}`, listed);
    assert.deepEqual([skipped.status, skipped.lines], [1, [missing]]);
    assert.deepEqual(runTests(context, good, listed).lines, [missing]);
});

test("a case of a review is printed, and no test run is judged by it", context => {
    const review = "review: 2 | review/2/run.sh | no seed | crashed | 7\n";
    const { status, lines } = runTests(context, good, review);
    assert.deepEqual([status, lines], [0, [
        "known red, run by hand: review: 2 (review/2/run.sh, no seed: crashed; issue 7)",
    ]]);
});

test("a list that is too long or malformed fails before any test runs", context => {
    const entry = (issue: number) => `one: bad ${issue} | npm test | seeds 1, 2 | cause | ${issue}\n`;
    const long = Array.from({ length: 9 }, (_, index) => entry(index)).join("");
    const malformed = [
        "one: bad, for a reason, cause, issue 7\n",
        "one: bad, for a reason | the clock is wrong | issue 7\n",
        "one: bad | npm test | seed 1 | cause | 7; review: 2 | review/2/run.sh | no seed | cause | 7\n",
        "one: bad | npm test | seed | cause | 7\n",
        "one: bad | npm test | seed 1 | cause | issue 7\n",
        "bad | npm test | seed 1 | cause | 7\n",
        "one: bad |  | seed 1 | cause | 7\n",
    ];
    for (const list of [long, ...malformed, listed + listed]) {
        const { status, ran, stderr } = runTests(context, good, list);
        assert.deepEqual([status, ran], [1, false], list);
        assert.match(stderr, /KNOWN-RED\.txt/);
    }
});
