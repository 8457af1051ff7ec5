import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { scenarios } from "./scenarios/scenarios.js";

const root = join(dirname(fileURLToPath(import.meta.url)), "../../../..");
const page = readFileSync(join(root, "docs/FAILURES.md"), "utf8");

/** Returns every test that the page names as `package: name`. */
function namedTests(): { readonly folder: string; readonly name: string; }[] {
    return [...page.matchAll(/`([a-z]+): ([^`]+)`/g)].map(([, folder = "", name = ""]) => ({ folder, name }));
}

/** Returns the concatenated text of all test files of a package. */
function testFiles(folder: string): string {
    const source = join(root, "packages", folder, "src");
    return readdirSync(source, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile() && entry.name.endsWith(".test.ts"))
        .map(entry => readFileSync(join(entry.parentPath, entry.name), "utf8"))
        .join("\n");
}

test("every test that the failure table names exists", () => {
    const named = namedTests();
    assert.ok(named.length > scenarios.length, `only ${named.length} tests are named`);
    const missing = named.filter(({ folder, name }) => !testFiles(folder).includes(`test("${name}"`));
    assert.deepEqual(missing, []);
});

test("the failure table and the scenarios agree", () => {
    const named = new Set([...page.matchAll(/\*([a-z-]+)\*/g)].map(([, name]) => name));
    assert.deepEqual([...named].sort(), scenarios.map(({ name }) => name).sort());
    const rows = scenarios.filter(({ name }) => name !== "baseline").map(({ row }) => row);
    assert.deepEqual(rows.filter(row => !page.includes(`| ${row} |`)), []);
});
