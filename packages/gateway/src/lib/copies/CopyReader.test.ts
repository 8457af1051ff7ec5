import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { silentObservation } from "../testing/fixtures.js";
import { CopyReader, type CopyReply } from "./CopyReader.js";
import { encodeTableCopy, type TableCopy } from "./TableCopy.js";

const progress = { bytes: 1, headAfter: 0, duration: 1 };
const copy: TableCopy = { table: "t", version: 7, era: 1, rows: [{ key: "k", value: { a: 1 }, version: 7 }] };

async function replyWith(changes: Partial<TableCopy> = {}): Promise<CopyReply> {
    return { kind: "copy", bytes: await encodeTableCopy({ ...copy, ...changes }), progress };
}

/** A reader whose peers, all of which reported to have version 7, answer as given. */
function createReader(replies: Readonly<Record<string, CopyReply>>) {
    const clock = new ManualClock();
    const asked: string[] = [];
    const reader = new CopyReader({
        clock,
        random: seededRandom(5),
        own: "own:1",
        observation: silentObservation(clock),
        era: () => 1,
        fetch: address => {
            asked.push(address);
            return Promise.resolve(replies[address] ?? { kind: "failed", reason: "ECONNREFUSED" });
        },
    });
    Object.keys(replies).forEach(address => reader.noteHolder("t", address, 7));
    return { clock, reader, asked };
}

test("a copy is read from a peer that reported to have the version", async () => {
    const { reader } = createReader({ a: await replyWith() });
    const read = await reader.read("t", 7);
    assert.deepEqual(read?.copy.rows, copy.rows);
});

test("a peer that has not reported the version, or long ago, is not asked", async () => {
    const { clock, reader, asked } = createReader({ a: await replyWith() });
    assert.equal(await reader.read("t", 8), undefined);
    assert.equal(await reader.read("other", 7), undefined);
    clock.advance(10_000);
    assert.equal(await reader.read("t", 7), undefined);
    assert.deepEqual(asked, []);
});

test("a peer that fails, and one without such a path, leave it to the next peer", async () => {
    const { reader } = createReader({
        a: { kind: "failed", reason: "timeout" },
        b: { kind: "failed", reason: "status 404" },
        c: await replyWith(),
    });
    assert.equal((await reader.read("t", 7))?.peer, "c");
});

test("a copy that is damaged, truncated, older, of another table or of another era is not used", async () => {
    const whole = await encodeTableCopy(copy);
    const damaged = Buffer.from(whole);
    damaged[Math.floor(damaged.length / 2)] = (damaged[Math.floor(damaged.length / 2)] ?? 0) ^ 0xff;
    const bad: readonly CopyReply[] = [
        { kind: "copy", bytes: damaged, progress },
        { kind: "copy", bytes: whole.subarray(0, whole.length - 4), progress },
        { kind: "copy", bytes: Buffer.from("text"), progress },
        await replyWith({ version: 6 }),
        await replyWith({ table: "other" }),
        await replyWith({ era: 2 }),
    ];
    for (const reply of bad) {
        assert.equal(await createReader({ a: reply }).reader.read("t", 7), undefined);
    }
});

test("a busy peer names others that have the copy, and these are asked", async () => {
    const { reader, asked } = createReader({ a: { kind: "busy", holders: ["own:1", "a", "x"] } });
    await reader.read("t", 7);
    assert.deepEqual(asked, ["a", "x"]);
});

test("peers that only name each other end the search", async () => {
    const { reader, asked } = createReader({
        a: { kind: "busy", holders: ["b", "c", "d", "e"] },
        b: { kind: "busy", holders: ["a", "c", "d", "e"] },
    });
    assert.equal(await reader.read("t", 7), undefined);
    assert.ok(asked.length <= 3);
});
