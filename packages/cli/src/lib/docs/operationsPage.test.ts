import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

/** Checks that the log lines and fields that docs/OPERATIONS.md quotes exist in the gateway's code. */

const root = fileURLToPath(new URL("../../../../../", import.meta.url));
const page = readFileSync(join(root, "docs/OPERATIONS.md"), "utf8");
const sources = readSources();

function readSources(): string {
    const folder = join(root, "packages/gateway/src/lib");
    return readdirSync(folder, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile() && /\.ts$/.test(entry.name) && !/\.test\.ts$/.test(entry.name))
        .map(entry => readFileSync(join(entry.parentPath, entry.name), "utf8"))
        .join("\n");
}

/** Returns the field names of the log calls with a message: the keys of the object literals passed with it. */
function fieldsOf(message: string): string[] {
    const calls = sources.split(/\.(?:info|warn|error)\(/).slice(1);
    const own = calls.filter(call => call.slice(0, call.indexOf(";")).includes(`"${message}"`));
    return own.flatMap(call => {
        const fields = call.slice(0, call.indexOf(`"${message}"`));
        return [...fields.matchAll(/([A-Za-z]+)(?=[:,\s}])/g)].map(([, name = ""]) => name);
    });
}

/** Whether the code contains a message literally, or a template that produces it. */
function isWritten(message: string): boolean {
    const templates = [...sources.matchAll(/`([a-z ]+)\$\{[a-z]+\}`/g)].map(([, start = ""]) => start);
    const isLiteral = sources.includes(`"${message}"`) || sources.includes(`: ${message}"`);
    return isLiteral || templates.some(start => message.startsWith(start));
}

/** Log lines in the page's code blocks, as prefix, message and field names. */
const quotedLines = [...page.matchAll(/^ {4}([a-z]+): ([a-z ]+?) ([a-zA-Z]+=.*)$/gm)]
    .map(([, part = "", message = "", fields = ""]) => ({
        part,
        message,
        fields: [...fields.matchAll(/(?:^| )([a-zA-Z]+)=/g)].map(([, name = ""]) => name),
    }));

test("the page quotes a line for each of three kinds of failed request", () => {
    assert.ok(quotedLines.length >= 6);
});

test("every quoted field is written with its message", () => {
    for (const { message, fields } of quotedLines) {
        const written = fieldsOf(message);
        assert.ok(written.length > 0, `no line "${message}"`);
        assert.deepEqual(fields.filter(field => !written.includes(field)), [], message);
    }
});

test("every message that the page names is written", () => {
    const named = [
        ...page.matchAll(/`(?:request|configuration|directory|chains|duty|peers|process|logs): ([a-z ]+?)`/g),
    ]
        .map(([, message = ""]) => message.replaceAll("\n", " "));
    assert.ok(named.length >= 5);
    assert.deepEqual(named.filter(message => !isWritten(message)), []);
});
