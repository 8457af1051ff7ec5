import { ManualClock, resourceCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { appendFile, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type TestContext } from "node:test";
import { checkHistoryFiles } from "../checkHistory.js";
import { type HistoryLine } from "../HistoryEvent.js";
import { FileRecorder } from "./FileRecorder.js";
import { readHistory } from "./readHistory.js";

async function temporaryFile(t: TestContext): Promise<string> {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-history-"));
    t.after(() => rm(folder, { recursive: true }));
    return join(folder, "history.jsonl");
}

async function openRecorder(path: string, clock: ManualClock): Promise<FileRecorder> {
    const opened = await FileRecorder.open({ clock, path, process: "agent-1", incarnation: "i1", target: "t1" });
    assert.ok(opened.isOk);
    return opened.value;
}

async function readLines(path: string): Promise<HistoryLine[]> {
    const lines: HistoryLine[] = [];
    const read = await readHistory(path, line => lines.push(line));
    assert.ok(read.isOk, read.isErr ? read.error.message : "");
    return lines;
}

test("recorded events are read back in order, after the interval or on close", async t => {
    const path = await temporaryFile(t);
    const clock = new ManualClock(5000);
    const recorder = await openRecorder(path, clock);
    assert.equal((await readLines(path)).length, 1);
    recorder.record({ event: "write.effect", writeId: "a" });
    assert.equal((await readLines(path)).length, 1);
    clock.advance(100);
    await recorder.flush();
    assert.equal((await readLines(path)).length, 2);
    recorder.record({ event: "write.effect", writeId: "b" });
    assert.ok((await recorder.close()).isOk);
    recorder.record({ event: "write.effect", writeId: "too late" });
    assert.ok((await recorder.close()).isOk);
    const lines = await readLines(path);
    assert.deepEqual(lines.map(({ sequence, time, body }) => [sequence, time, body.event]), [
        [0, 5000, "process.started"],
        [1, 5000, "write.effect"],
        [2, 5100, "write.effect"],
        [3, 5100, "history.closed"],
    ]);
});

test("the interval alone writes the buffer", async t => {
    const path = await temporaryFile(t);
    const clock = new ManualClock();
    const recorder = await openRecorder(path, clock);
    for (let index = 0; index < 1000; index++) {
        recorder.record({ event: "write.effect", writeId: String(index) });
    }
    clock.advance(100);
    // The write ends at a time that the clock of the test does not control, so the test polls for its result.
    while ((await readFile(path, "utf8")).split("\n").length < 1002) {
        await new Promise(resolve => setImmediate(resolve));
    }
    const lines = await readLines(path);
    assert.deepEqual(lines.map(({ sequence }) => sequence), Array.from({ length: 1001 }, (_, index) => index));
    assert.ok((await recorder.close()).isOk);
});

test("the failure for a file that cannot be written or read names the file", async t => {
    const path = join(await temporaryFile(t), "no", "folder");
    const opened = await FileRecorder.open({ clock: new ManualClock(), path, process: "p", incarnation: "i" });
    assert.ok(opened.isErr && opened.error.message.includes(path));
    const read = await readHistory(path, () => {});
    assert.ok(read.isErr && read.error.message.includes(path));
    assert.equal(read.error.code, resourceCodes.noSuchResource);
});

test("the failure for an invalid line names file and line number", async t => {
    const path = await temporaryFile(t);
    const good = JSON.stringify({
        process: "p",
        incarnation: "i",
        sequence: 0,
        time: 1,
        body: { event: "history.closed" },
    });
    const cases = [
        ["not JSON", ":2: expected a JSON object", resourceCodes.invalidSyntax],
        ["", ":2: expected a JSON object", resourceCodes.invalidSyntax],
        [good.replace("history.closed", "history.open"), ":2: body.event:", resourceCodes.invalidField],
        [good.replace("\"time\":1", "\"time\":\"noon\""), ":2: time:", resourceCodes.invalidField],
        ["[]", ":2: the line:", resourceCodes.invalidField],
    ] as const;
    for (const [bad, expected, code] of cases) {
        await writeFile(path, `${good}\n${bad}\n${good}\n`);
        const checked = await checkHistoryFiles([path]);
        assert.ok(checked.isErr, bad);
        assert.ok(checked.error.message.startsWith(`${path}${expected}`), checked.error.message);
        assert.equal(checked.error.code, code);
    }
});

test("a file torn inside its last line counts as incomplete", async t => {
    const path = await temporaryFile(t);
    const recorder = await openRecorder(path, new ManualClock());
    recorder.record({ event: "write.effect", writeId: "a" });
    await recorder.flush();
    await appendFile(path, "{\"process\":\"agent-1\",\"incarn");
    const read = await readHistory(path, () => {});
    assert.ok(read.isOk && read.value.torn && read.value.lines === 2);
    const checked = await checkHistoryFiles([path]);
    assert.ok(checked.isOk);
    assert.deepEqual(checked.value.incomplete, ["agent-1 i1"]);
    assert.deepEqual(checked.value.rules.writes, { passed: 0, violated: 0, undecided: 1 });
    await recorder.close();
});

test("an abandoned recorder leaves a history without an end", async t => {
    const path = await temporaryFile(t);
    const recorder = await openRecorder(path, new ManualClock());
    recorder.record({ event: "write.effect", writeId: "a" });
    await recorder.abandon();
    recorder.record({ event: "write.effect", writeId: "b" });
    assert.ok((await recorder.close()).isOk);
    assert.deepEqual((await readLines(path)).map(({ body }) => body.event), ["process.started"]);
});

test("a full disk is a failure", async () => {
    const options = { clock: new ManualClock(), path: "/dev/full", process: "p", incarnation: "i" };
    const opened = await FileRecorder.open(options);
    assert.ok(opened.isErr && opened.error.message.includes("ENOSPC"));
});
