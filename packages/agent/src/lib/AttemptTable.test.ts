import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AttemptTable, type TableAttempt } from "./AttemptTable.js";

function attempt(epoch: number, superseded: number[] = []): TableAttempt {
    return { epoch, supersede: () => superseded.push(epoch) };
}

test("finished requests are remembered up to a number and an age, open ones without limit", () => {
    const clock = new ManualClock();
    const table = new AttemptTable({ clock, limit: 3, retention: 1000 });
    table.begin("open", attempt(0));
    for (let index = 0; index < 10; index++) {
        table.begin(`r${index}`, attempt(2));
        table.end(`r${index}`, 2);
    }
    assert.equal(table.size, 4);
    assert.equal(table.openCount, 1);
    assert.equal(table.classify("r9", 1), "stale");
    assert.equal(table.classify("r9", 2), "repeat");
    assert.equal(table.classify("r0", 1), "new");
    clock.advance(1001);
    table.end("last", 0);
    assert.equal(table.size, 2);
    assert.ok(table.find("open", 0) !== undefined);
});

test("a newer epoch supersedes an older one, whose end changes nothing", () => {
    const superseded: number[] = [];
    const table = new AttemptTable({ clock: new ManualClock(), limit: 10, retention: 1000 });
    table.begin("r", attempt(0, superseded));
    table.begin("r", attempt(1, superseded));
    assert.deepEqual(superseded, [0]);
    table.end("r", 0);
    assert.equal(table.find("r", 0), undefined);
    assert.equal(table.find("r", 1)?.epoch, 1);
    assert.equal(table.openCount, 1);
});
