import assert from "node:assert/strict";
import { execFileSync, spawnSync } from "node:child_process";
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { before, test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../../", import.meta.url));

before(() => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"], { cwd: root });
});

/** Starts a copy of the build without settings. @returns How it ended, and whether it said that it used no code cache. */
function start(folder: string, ...options: string[]): { readonly end: string; readonly isUnused: boolean; } {
    const { status, signal, stdout } = spawnSync(process.execPath, [join(folder, "start.cjs"), ...options], {
        encoding: "utf8",
        env: {},
    });
    return { end: signal ?? `${status}`, isUnused: stdout.includes("code cache not used") };
}

function copyBuild(context: TestContext): { readonly folder: string; readonly cache: string; } {
    const folder = mkdtempSync(join(tmpdir(), "waxwingspar-cache-"));
    context.after(() => rmSync(folder, { recursive: true }));
    for (const file of ["start.cjs", "gateway.cjs", "gateway.cache", "placementLease.json"]) {
        cpSync(join(root, "target", file), join(folder, file));
    }
    return { folder, cache: join(folder, "gateway.cache") };
}

/** Without settings the program ends with this code, once it has loaded. */
const noSettings = "1";

// Guards against a process that crashes at each start, and in the build that should replace its code cache.
test("a code cache that does not fit is not used, and is replaced by the build", context => {
    const { folder, cache } = copyBuild(context);
    assert.deepEqual(start(folder), { end: noSettings, isUnused: false });
    const whole = readFileSync(cache);
    const end = whole.indexOf("\n");
    const data = whole.subarray(end + 1);
    const head = JSON.parse(whole.toString("utf8", 0, end)) as Record<string, string>;
    const withHead = (change: Record<string, string>) =>
        Buffer.concat([Buffer.from(`${JSON.stringify({ ...head, ...change })}\n`), data]);
    const flipped = Buffer.from(whole);
    flipped[end + 5_000]! ^= 0xff;
    const unfit = {
        "of another version": withHead({ version: "v20.19.2" }),
        "of another architecture": withHead({ arch: "other" }),
        "of another source": withHead({ source: "0" }),
        cut: whole.subarray(0, whole.length / 2),
        "cut in its first line": whole.subarray(0, 10),
        "with other bytes": flipped,
        "without a first line": data,
        empty: Buffer.alloc(0),
    };
    for (const [name, bytes] of Object.entries(unfit)) {
        writeFileSync(cache, bytes);
        assert.deepEqual(start(folder), { end: noSettings, isUnused: true }, name);
        assert.equal(start(folder, "--write-cache").end, "0", name);
        assert.deepEqual(start(folder), { end: noSettings, isUnused: false }, name);
    }
    rmSync(cache);
    assert.deepEqual(start(folder), { end: noSettings, isUnused: true });
    assert.deepEqual(readdirSync(folder).sort(), ["gateway.cjs", "placementLease.json", "start.cjs"]);
});

test("a code cache of another bundle is not used", context => {
    const { folder } = copyBuild(context);
    const bundle = join(folder, "gateway.cjs");
    const text = readFileSync(bundle, "utf8");
    writeFileSync(bundle, text.replace("use strict", "USE STRICT"));
    assert.deepEqual(start(folder), { end: noSettings, isUnused: true });
});
