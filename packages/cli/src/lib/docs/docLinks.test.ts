import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../../../", import.meta.url));

function checkDocs(folder: string) {
    const script = join(root, "scripts/check-docs.mjs");
    const { status, stdout, stderr } = spawnSync(process.execPath, [script, folder], { encoding: "utf8" });
    return { status, stdout, faults: stderr.split("\n").filter(line => line !== "") };
}

function folderWith(context: TestContext, files: Record<string, string>): string {
    const folder = mkdtempSync(join(tmpdir(), "waxwingspar-docs-"));
    context.after(() => rmSync(folder, { recursive: true }));
    for (const [name, text] of Object.entries(files)) {
        mkdirSync(dirname(join(folder, name)), { recursive: true });
        writeFileSync(join(folder, name), text);
    }
    return folder;
}

test("links and paths in all pages exist, and every page is linked", () => {
    const { status, stdout, faults } = checkDocs(root);
    assert.deepEqual(faults, []);
    assert.equal(status, 0, stdout);
});

test("a broken link, a path to a missing file and an unlinked page are reported", context => {
    const folder = folderWith(context, {
        "README.md": "[a](docs/ARCHITECTURE.md#part) [b](docs/gone.md) [c](https://example.org/docs/x) [d](#here)",
        "docs/ARCHITECTURE.md":
            "`packages/one/src/gone.ts`, `packages/one/dist/a.js`, packages/NAME, [](design/e%20f.md)",
        "docs/design/e f.md":
            "```md\n[only an example](nowhere.md)\n```\n[up](../../README.md), packages/one/README.md.",
        "docs/alone.md": "",
        "packages/one/README.md": "[f](../two)",
    });
    const { status, faults } = checkDocs(folder);
    assert.equal(status, 1);
    assert.deepEqual(faults.sort(), [
        "README.md: docs/gone.md does not exist",
        "docs/ARCHITECTURE.md: packages/one/src/gone.ts does not exist",
        "docs/alone.md: neither README.md nor docs/ARCHITECTURE.md links to it",
        "packages/one/README.md: packages/two does not exist",
    ]);
    assert.equal(checkDocs(folderWith(context, {})).status, 1, "a folder without pages fails");
});
