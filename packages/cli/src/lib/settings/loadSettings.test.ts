import { resourceCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { parseSettings } from "./loadSettings.js";

const entry = {
    role: "entry",
    name: "entry-1",
    dataCentre: "dc1",
    region: "r1",
    callers: { host: "127.0.0.1", port: 8080 },
    operators: { host: "127.0.0.1", port: 8081 },
    links: { host: "127.0.0.1", port: 7000 },
    credentials: { insecure: true },
    platform: { origin: "http://127.0.0.1:9000" },
};

/** Returns the error message for settings that must be rejected. */
function messageFor(change: object): string {
    const parsed = parseSettings(JSON.stringify({ ...entry, ...change }), "site/entry.jsonc");
    assert.ok(parsed.isErr, "the settings are accepted");
    assert.equal(parsed.error.code, resourceCodes.invalidSettings);
    return parsed.error.message;
}

test("settings with comments and trailing commas get their defaults", () => {
    const text = `// an entry\n${JSON.stringify(entry).slice(0, -1)}, /* none */ }`;
    const parsed = parseSettings(text, "entry.jsonc", "entry");
    assert.ok(parsed.isOk, parsed.isErr ? parsed.error.message : "");
    assert.equal(parsed.value.log.level, "info");
    assert.equal(parsed.value.limits.maxBodyBytes, 1_048_576);
});

test("each wrong setting names file, line, path and what was expected", () => {
    const cases: [object, string][] = [
        [{ callers: { host: "127.0.0.1", port: "80" } }, "callers.port: expected number, found string"],
        [{ callers: { host: "localhost", port: 80 } }, "callers.host: expected an IP address"],
        [{ callers: { host: "127.0.0.1" } }, "callers.port: expected number, found nothing"],
        [{ callers: { host: "127.0.0.1", port: 70_000 } }, "callers.port: Too big: expected number to be <=65535"],
        [{ colour: "red" }, "colour: expected no such field"],
        [{ limits: { maxBodybytes: 3 } }, "limits.maxBodybytes: expected no such field"],
        [{ limits: { maxBodyBytes: -3 } }, "limits.maxBodyBytes: Too small: expected number to be >0"],
        [{ name: "Entry 1" }, "name: expected a name of lower-case letters, digits, dots and hyphens, at most 63"],
        [{ role: "router" }, "role: expected \"entry\" or \"agent\" or \"platform\" or \"engine\""],
        [{ log: { level: "loud" } }, "log.level: expected \"debug\" or \"info\""],
        [{ platform: { origin: "10.0.0.5" } }, "platform.origin: expected an origin such as http://10.0.0.5:9000"],
        [{ credentials: { insecure: false } }, "credentials.insecure: expected true"],
        [{ credentials: { keys: [{ id: "a", secret: "short" }] } }, "credentials.keys.0.secret: Too small"],
        [{ links: { host: "10.0.0.1", port: 1 } }, "credentials.insecure: plaintext is for loopback only"],
    ];
    for (const [change, expected] of cases) {
        const message = messageFor(change);
        assert.ok(message.startsWith(`site/entry.jsonc:1: ${expected}`), `${message} instead of ${expected}`);
    }
});

test("each problem is listed with the line of its setting", () => {
    const message = messageFor({ name: 3, region: 4 });
    assert.deepEqual(message.split("\n").length, 2);
    const text = JSON.stringify({ ...entry, region: 4 }, undefined, 4);
    const parsed = parseSettings(text, "entry.jsonc");
    assert.ok(parsed.isErr && parsed.error.message.startsWith("entry.jsonc:5: region:"), "line of the field");
});

test("a duplicate field is rejected", () => {
    const text = JSON.stringify(entry).replace("{", "{\"name\": \"other\",");
    const parsed = parseSettings(text, "entry.jsonc");
    assert.equal(parsed.isErr && parsed.error.message, "entry.jsonc:1: name: set twice");
});

test("a syntax error names the line", () => {
    const parsed = parseSettings("{\n  \"role\": \"entry\",\n  \"name\" \"x\"\n}", "entry.jsonc");
    assert.equal(parsed.isErr && parsed.error.code, resourceCodes.invalidSyntax);
    assert.ok(parsed.isErr && parsed.error.message.startsWith("entry.jsonc:3: expected JSON with comments"));
    assert.ok(parseSettings("", "entry.jsonc").isErr);
});

test("a file for another role is rejected", () => {
    const parsed = parseSettings(JSON.stringify(entry), "entry.jsonc", "agent");
    assert.equal(parsed.isErr && parsed.error.message, "entry.jsonc:1: role: expected \"agent\"");
});

test("every example file is valid", () => {
    const folder = new URL("../../../examples/", import.meta.url);
    const files = readdirSync(folder).filter(file => file.endsWith(".jsonc"));
    assert.ok(files.length >= 5);
    for (const file of files) {
        const parsed = parseSettings(readFileSync(new URL(file, folder), "utf8"), file);
        assert.ok(parsed.isOk, parsed.isErr ? parsed.error.message : "");
    }
});
