import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { findResultCode, resultCodes } from "./resultCodes.js";

const docs = new URL("../../../../../docs/RESULT-CODES.md", import.meta.url);

test("numbers and names are unique", () => {
    assert.equal(new Set(resultCodes.map(code => code.number)).size, resultCodes.length);
    assert.equal(new Set(resultCodes.map(code => code.name)).size, resultCodes.length);
});

test("codes from 2000 to 2999 never claim that nothing ran", () => {
    for (const code of resultCodes.filter(code => code.number >= 2000 && code.number < 3000)) {
        assert.equal(code.execution, "unknown", code.name);
    }
});

test("a code is found by its number", () => {
    assert.equal(findResultCode(1010)?.name, "overloaded");
    assert.equal(findResultCode(9999), undefined);
});

test("the docs table lists exactly the codes", () => {
    const rows = readFileSync(docs, "utf8").split("\n").filter(line => /^\| \d/.test(line));
    const expected = resultCodes.map(code =>
        `| ${code.number} | \`${code.name}\` | ${code.execution} | ${code.status} | ${code.retry} | ${code.summary} |`
    );
    assert.deepEqual(rows, expected);
});
