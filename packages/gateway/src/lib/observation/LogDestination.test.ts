import assert from "node:assert/strict";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { LogDestination } from "./LogDestination.js";

function createFile(context: TestContext) {
    const folder = mkdtempSync(join(tmpdir(), "logs-"));
    const path = join(folder, "out");
    const descriptor = openSync(path, "w");
    context.after(() => {
        closeSync(descriptor);
        rmSync(folder, { recursive: true });
    });
    return { descriptor, read: () => readFileSync(path, "utf8") };
}

async function until(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => void setTimeout(resolve, 5));
    }
}

test("lines are written completely and in order", async context => {
    const { descriptor, read } = createFile(context);
    const destination = new LogDestination({ descriptor, delay: 1 });
    const lines = Array.from({ length: 100 }, (_, index) => `line ${index}\n`);
    lines.slice(0, 50).forEach(line => destination.write(line));
    await until(() => read().includes("line 49"));
    lines.slice(50).forEach(line => destination.write(line));
    await until(() => read().includes("line 99"));
    assert.equal(read(), lines.join(""));
});

test("lines that exceed the buffer are dropped and counted, and later lines are written", async context => {
    const { descriptor, read } = createFile(context);
    const destination = new LogDestination({ descriptor, delay: 1, maxPending: 20 });
    ["0123456789\n", "01234567\n", "dropped\n", "dropped\n"].forEach(line => destination.write(line));
    await until(() => read().includes("lines dropped"));
    assert.match(read(), /"dropped":2/);
    assert.doesNotMatch(read(), /^dropped$/m);
    await until(() => {
        destination.write("again\n");
        return read().includes("again");
    });
});

test("output that fails: later lines neither throw nor accumulate", async () => {
    const noDescriptor = 1_000_000;
    const destination = new LogDestination({ descriptor: noDescriptor, delay: 1, maxPending: 10 });
    destination.write("12345678\n");
    await new Promise(resolve => void setTimeout(resolve, 30));
    destination.write("12345678\n");
    await new Promise(resolve => void setTimeout(resolve, 30));
});
