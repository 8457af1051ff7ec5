import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../../../", import.meta.url));
const pages = ["README.md", "docs/SECURITY.md"];

/** Returns the text of all test files of a package, or undefined if there is no such package. */
function testFiles(folder: string): string | undefined {
    try {
        return readdirSync(join(root, "packages", folder, "src"), { withFileTypes: true, recursive: true })
            .filter(entry => entry.isFile() && entry.name.endsWith(".test.ts"))
            .map(entry => readFileSync(join(entry.parentPath, entry.name), "utf8"))
            .join("\n");
    }
    catch {
        return undefined;
    }
}

test("every test that README and SECURITY name exists", () => {
    for (const page of pages) {
        const named = [...readFileSync(join(root, page), "utf8").matchAll(/`([a-z]+): ([^`]+)`/g)];
        assert.ok(named.length >= 10, `${page} names only ${named.length} tests`);
        const missing = named.filter(([, folder = "", name = ""]) =>
            testFiles(folder)?.includes(`test("${name}"`) !== true
        );
        assert.deepEqual(missing.map(([text]) => text), [], page);
    }
});
