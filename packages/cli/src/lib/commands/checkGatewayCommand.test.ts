import { testSettings } from "@waxwingspar/platform/testing";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { checkGatewayCommand } from "./checkGatewayCommand.js";
import { exitCodes } from "./exitCodes.js";

async function check(context: TestContext, text: string) {
    const folder = mkdtempSync(join(tmpdir(), "settings-"));
    context.after(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "settings.json");
    writeFileSync(file, text);
    const printed = { output: "", error: "" };
    const code = await checkGatewayCommand(file, {
        write: line => void (printed.output += line),
        writeError: line => void (printed.error += line),
    });
    return { code, ...printed };
}

const settings = testSettings("127.0.0.1:1");

test("settings of the platform are accepted, including unknown fields", async context => {
    const { code, output } = await check(context, JSON.stringify({ ...settings, Novel: [1] }));
    assert.equal(code, exitCodes.done);
    assert.match(output, /ok\n$/);
});

test("an error names the field", async context => {
    for (const field of Object.keys(settings)) {
        const { code, error } = await check(context, JSON.stringify({ ...settings, [field]: undefined }));
        if (code !== exitCodes.done) {
            assert.match(error, new RegExp(`: ${field}`));
        }
    }
    const { code } = await check(context, "{}");
    assert.equal(code, exitCodes.usage);
});

test("invalid JSON is reported as an error", async context => {
    const { code, error } = await check(context, "{");
    assert.equal(code, exitCodes.usage);
    assert.match(error, /check gateway: /);
});
