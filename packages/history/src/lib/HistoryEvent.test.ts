import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import test from "node:test";
import { historyRules } from "./check/Findings.js";
import { historyEventSchema } from "./HistoryEvent.js";

const page = readFileSync(new URL("../../../../docs/HISTORY.md", import.meta.url), "utf8");

test("docs/HISTORY.md explains every event and each of its fields", () => {
    for (const option of historyEventSchema.options) {
        const name = option.shape.event.value;
        const row = page.split("\n").find(line => line.startsWith(`| \`${name}\` |`));
        assert.ok(row !== undefined, `${name} has no row`);
        for (const field of Object.keys(option.shape).filter(key => key !== "event")) {
            assert.ok(row.includes(`\`${field}\``), `the row of ${name} lacks ${field}`);
        }
    }
});

test("docs/HISTORY.md explains every rule", () => {
    for (const rule of historyRules) {
        assert.ok(page.includes(`\n| \`${rule}\` |`), rule);
    }
});

test("docs/HISTORY.md names no event that does not exist", () => {
    const names = new Set<string>(historyEventSchema.options.map(option => option.shape.event.value));
    const named = [...page.matchAll(/^\| `([a-z]+\.[a-z]+)` \|/gm)].map(([, name]) => name);
    assert.deepEqual(named.filter(name => !names.has(name ?? "")), []);
});
