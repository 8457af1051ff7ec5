import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { test } from "node:test";
import { promisify } from "node:util";

const program = `
    Object.defineProperty(process, "pid", { value: 88_000 });
    const { findPorts } = await import(process.argv[1]);
    console.log((await findPorts("127.0.0.1", 3)).join());
    setTimeout(() => undefined, 2_000);
`;

// Guards against the callers of one site that are answered by the gateways of another.
test("processes that find ports at the same time get different ones, whatever their ids", async () => {
    const file = new URL("./ports.js", import.meta.url).href;
    const run = () => promisify(execFile)(process.execPath, ["--input-type=module", "-e", program, file]);
    const outputs = await Promise.all(Array.from({ length: 4 }, run));
    const ports = outputs.flatMap(({ stdout }) => stdout.trim().split(","));
    assert.equal(new Set(ports).size, 12, ports.join());
});
