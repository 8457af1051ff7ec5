import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { renderReference } from "./renderReference.js";

test("docs/SETTINGS.md is up to date", () => {
    const page = readFileSync(new URL("../../../../../docs/SETTINGS.md", import.meta.url), "utf8");
    assert.equal(page, renderReference(), "run node scripts/write-settings-reference.mjs");
});

test("every field of the reference has a meaning", () => {
    const rows = renderReference().split("\n").filter(line => line.startsWith("| `"));
    assert.ok(rows.length > 40);
    assert.deepEqual(rows.filter(row => row.endsWith("|  |")), []);
});
