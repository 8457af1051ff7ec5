import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../../../", import.meta.url));
const page = readFileSync(join(root, "docs/METRICS.md"), "utf8");
const sources = readSources();

/** Returns the code of all packages as one text, without tests, test helpers and comments. */
function readSources(): string {
    return readdirSync(join(root, "packages"))
        .flatMap(name => filesBelow(join(root, "packages", name, "src")))
        .filter(file => /\.ts$/.test(file) && !/\.test\.ts$|\/testing\//.test(file))
        .map(file => readFileSync(file, "utf8").replace(/^ *(\/\*\*|\*|\/\/).*$/gm, ""))
        .join("\n");
}

function filesBelow(folder: string): string[] {
    return readdirSync(folder, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile())
        .map(entry => join(entry.parentPath, entry.name));
}

/** Returns the distinct first groups of all matches, sorted. */
function findMatches(text: string, pattern: RegExp): string[] {
    return [...new Set([...text.matchAll(pattern)].map(([, name = ""]) => name))].sort();
}

/** Returns the rows of the table below a heading, as cells. */
function rowsBelow(heading: string): string[][] {
    const [, section = ""] = page.split(`## ${heading}\n`);
    const [own = ""] = section.split("\n## ");
    return [...own.matchAll(/^\| (`.*) \|$/gm)].map(([, row = ""]) => row.split(" | "));
}

function names(heading: string): string[] {
    return rowsBelow(heading).map(([name = ""]) => name.replaceAll("`", "")).sort();
}

test("the page lists exactly the metrics that the code registers", () => {
    const registered = findMatches(sources, /\.(?:counter|gauge|histogram)\(\{\s*name: "(\w+)"/g);
    assert.ok(registered.length > 10, "the pattern finds the metrics");
    assert.deepEqual(names("Metrics"), registered);
    // Every other metric name in the code must be registered too, and therefore listed.
    assert.deepEqual(findMatches(sources, /"(waxwingspar_\w+)"/g), registered);
});

test("the page lists exactly the spans and attributes of the code", () => {
    assert.deepEqual(names("Traces"), findMatches(sources, /\.startSpan\(\s*"([^"]+)"/g));
    const attributes = rowsBelow("Traces").map(cells => cells.at(-1) ?? "").join(" ");
    const set = findMatches(sources, /(?<=setAttribute\(|[{,]\s*)"(waxwingspar\.\w+)"(?=:|,)/g);
    assert.deepEqual(findMatches(attributes, /`(waxwingspar\.\w+)`/g), set);
});

test("the page lists exactly the prefixes of log messages", () => {
    const pattern = /\b(?:log|debug|info|warn|error)\((?:\s*\{[^}]*\},?)?\s*["`]([a-z]+): /g;
    assert.deepEqual(names("Logs"), findMatches(sources, pattern));
});
